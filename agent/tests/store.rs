//! The durable store: crashes between any two writes, a full disk, and operators with conflicting commands.

use std::sync::{Arc, Mutex};

use ivyhatch_agent::{Change, Command, DesiredState, Outcome, Rejection, Store};
use proptest::prelude::*;
use redb::StorageBackend;

fn command(id: &str, requested_by: &str, base_revision: u64, changes: &[(&str, DesiredState)]) -> Command {
    let change = |&(instance, desired_state): &(&str, DesiredState)| Change {
        instance: instance.into(),
        desired_state,
    };
    Command {
        id: id.into(),
        requested_by: requested_by.into(),
        base_revision,
        changes: changes.iter().map(change).collect(),
        at_unix_ms: 1,
    }
}

fn in_memory_store() -> Store {
    Store::with_backend(redb::backends::InMemoryBackend::new()).expect("the store opens")
}

#[test]
fn conflicting_command_is_rejected_and_the_rejection_names_the_other() {
    let store = in_memory_store();
    let first = command("c-1", "ops-1", 0, &[("a-1", DesiredState::Drained), ("a-2", DesiredState::Drained)]);
    let second =
        command("c-2", "ops-2", 0, &[("b-1", DesiredState::Stopped), ("a-2", DesiredState::Stopped)]);
    assert_eq!(store.apply(&first).unwrap(), Outcome::Applied { revision: 1 });
    let Outcome::Rejected(Rejection::Conflict { instance, other }) = store.apply(&second).unwrap() else {
        panic!("the second command has to be rejected as a conflict");
    };
    assert_eq!(
        (instance.as_str(), other.requested_by.as_str(), other.command.as_str(), other.revision),
        ("a-2", "ops-1", "c-1", 1)
    );
    let desired = store.desired().unwrap();
    assert_eq!((desired.revision, desired.instances.len()), (1, 2), "nothing of the second was applied");
    // A command based on the revision of the first is applied, and so is one that sets the same state or other instances.
    assert_eq!(
        store.apply(&Command { id: "c-3".into(), base_revision: 1, ..second.clone() }).unwrap(),
        Outcome::Applied { revision: 2 }
    );
    let same = command("c-4", "ops-1", 0, &[("a-2", DesiredState::Stopped), ("c-1", DesiredState::Running)]);
    assert_eq!(store.apply(&same).unwrap(), Outcome::Applied { revision: 3 });
    let ahead = command("c-5", "ops-1", 9, &[("a-1", DesiredState::Running)]);
    assert_eq!(
        store.apply(&ahead).unwrap(),
        Outcome::Rejected(Rejection::UnknownBaseRevision { revision: 3 })
    );
    let ids: Vec<String> = store.audit(0).unwrap().into_iter().map(|record| record.command.id).collect();
    assert_eq!(ids, ["c-1", "c-2", "c-3", "c-4", "c-5"], "a record for each, applied or not");
}

#[test]
fn repeated_command_is_applied_once() {
    let store = in_memory_store();
    let first = command("c-1", "ops-1", 0, &[("a-1", DesiredState::Drained)]);
    assert_eq!(store.apply(&first).unwrap(), Outcome::Applied { revision: 1 });
    let undo = command("c-2", "ops-1", 1, &[("a-1", DesiredState::Running)]);
    assert_eq!(store.apply(&undo).unwrap(), Outcome::Applied { revision: 2 });
    let again = Command { at_unix_ms: 99, ..first };
    assert_eq!(
        store.apply(&again).unwrap(),
        Outcome::Applied { revision: 1 },
        "the outcome of the first time"
    );
    assert_eq!(
        store.desired().unwrap().instances["a-1"].desired_state,
        DesiredState::Running,
        "and not applied again"
    );
    let other = command("c-1", "ops-2", 2, &[("a-1", DesiredState::Stopped)]);
    assert_eq!(
        store.apply(&other).unwrap(),
        Outcome::Rejected(Rejection::IdTaken { requested_by: "ops-1".into() })
    );
}

/// A simulated disk whose write cache is lost in a crash.
#[derive(Debug, Default)]
struct Disk {
    synced: Vec<u8>,
    current: Vec<u8>,
    /// Writes since the last sync; a crash may lose each of them.
    unsynced: Vec<(usize, Vec<u8>)>,
    /// Operations until the machine crashes.
    operations_left: usize,
    full: bool,
}

#[derive(Clone, Debug)]
struct SharedDisk(Arc<Mutex<Disk>>);

impl SharedDisk {
    fn write_operation(&self, operation: impl FnOnce(&mut Disk)) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.full {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        disk.operations_left = disk
            .operations_left
            .checked_sub(1)
            .ok_or_else(|| std::io::Error::other("the machine has crashed"))?;
        operation(&mut disk);
        Ok(())
    }

    /// The disk after a crash that lost some of the unsynced writes.
    fn after_crash(&self, lost: &[bool], operations_left: usize) -> Self {
        let disk = self.0.lock().unwrap();
        let mut synced = disk.synced.clone();
        for (number, (at, data)) in disk.unsynced.iter().enumerate() {
            if !lost[number % lost.len()] {
                synced.resize(synced.len().max(at + data.len()), 0);
                synced[*at..at + data.len()].copy_from_slice(data);
            }
        }
        Self(Arc::new(Mutex::new(Disk {
            current: synced.clone(),
            synced,
            operations_left,
            ..Disk::default()
        })))
    }
}

impl StorageBackend for SharedDisk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let disk = self.0.lock().unwrap();
        let part = disk.current.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(part.ok_or(std::io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        // The file's length is metadata of the file system, here synced at once.
        self.write_operation(|disk| {
            disk.current.resize(len as usize, 0);
            disk.synced.resize(len as usize, 0);
            disk.unsynced.retain(|(at, data)| at + data.len() <= len as usize);
        })
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.write_operation(|disk| {
            disk.synced = disk.current.clone();
            disk.unsynced.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.write_operation(|disk| {
            let at = offset as usize;
            disk.current[at..at + data.len()].copy_from_slice(data);
            disk.unsynced.push((at, data.to_vec()));
        })
    }
}

fn disk(operations_left: usize) -> SharedDisk {
    SharedDisk(Arc::new(Mutex::new(Disk { operations_left, ..Disk::default() })))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]
    /// Guards against losing acknowledged commands: the machine crashes after any number of writes, and any subset of the unsynced
    /// writes is lost. The store then has all acknowledged commands, and possibly the one that was being written.
    #[test]
    fn acknowledged_commands_survive_a_crash_after_any_write(crash_after in 0usize..260, lost in proptest::collection::vec(any::<bool>(), 1..9)) {
        let machine = disk(usize::MAX);
        drop(Store::with_backend(machine.clone()).expect("the store opens"));
        machine.0.lock().unwrap().operations_left = crash_after;
        let commands: Vec<Command> = (0..12)
            .map(|n| command(&format!("c-{n}"), "ops-1", n, &[("a-1", DesiredState::Drained), (["b", "c"][n as usize % 2], DesiredState::Stopped)]))
            .collect();
        let mut acknowledged = 0;
        if let Ok(store) = Store::with_backend(machine.clone()) {
            for command in &commands {
                match store.apply(command) {
                    Ok(Outcome::Applied { .. }) => acknowledged += 1,
                    Ok(other) => prop_assert!(false, "{other:?}"),
                    Err(_) => break,
                }
            }
        }
        let store = Store::with_backend(machine.after_crash(&lost, usize::MAX)).expect("the store opens after any crash");
        let audit: Vec<Command> = store.audit(0).unwrap().into_iter().map(|record| record.command).collect();
        prop_assert!((acknowledged..=acknowledged + 1).contains(&audit.len()), "{acknowledged} {}", audit.len());
        prop_assert_eq!(&audit[..], &commands[..audit.len()]);
        let desired = store.desired().unwrap();
        prop_assert_eq!(desired.revision, audit.len() as u64);
        let newest = desired.instances.values().map(|entry| entry.revision).max().unwrap_or(0);
        prop_assert_eq!(newest, desired.revision, "a command is applied completely");
        // Retried with their ids, all commands get the outcome that they had or would have had.
        for (number, command) in commands.iter().enumerate() {
            prop_assert_eq!(store.apply(command).unwrap(), Outcome::Applied { revision: number as u64 + 1 });
        }
    }
}

#[test]
fn full_disk_is_reported_and_loses_nothing() {
    let machine = disk(usize::MAX);
    let store = Store::with_backend(machine.clone()).unwrap();
    let first = command("c-1", "ops-1", 0, &[("a-1", DesiredState::Drained)]);
    assert_eq!(store.apply(&first).unwrap(), Outcome::Applied { revision: 1 });
    machine.0.lock().unwrap().full = true;
    let second = command("c-2", "ops-1", 1, &[("a-1", DesiredState::Running)]);
    let error = store.apply(&second).unwrap_err().to_string();
    assert!(error.ends_with("nothing was changed"), "{error}");
    machine.0.lock().unwrap().full = false;
    drop(store);
    let store = Store::with_backend(machine.after_crash(&[true], usize::MAX)).expect("the store opens again");
    assert_eq!(store.desired().unwrap().instances["a-1"].desired_state, DesiredState::Drained);
    assert_eq!(store.apply(&second).unwrap(), Outcome::Applied { revision: 2 });
}

#[test]
fn store_can_be_opened_by_one_process_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("asked.redb");
    let first = Store::open(&path).expect("the store opens");
    assert!(Store::open(&path).is_err(), "two agents on one store");
    first.apply(&command("c-1", "ops-1", 0, &[("a-1", DesiredState::Running)])).unwrap();
    drop(first);
    assert_eq!(Store::open(&path).unwrap().desired().unwrap().revision, 1);
}
