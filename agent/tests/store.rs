//! The record of what was asked, with crashes between any two writes, and two people who want different things.

use std::sync::{Arc, Mutex};

use ivyhatch_agent::{Change, Command, Outcome, Refusal, Store, Wanted};
use proptest::prelude::*;
use redb::StorageBackend;

fn command(id: &str, by: &str, against: u64, changes: &[(&str, Wanted)]) -> Command {
    let change = |&(instance, wanted): &(&str, Wanted)| Change { instance: instance.into(), wanted };
    Command {
        id: id.into(),
        by: by.into(),
        against,
        changes: changes.iter().map(change).collect(),
        at_unix_ms: 1,
    }
}

fn memory() -> Store {
    Store::on(redb::backends::InMemoryBackend::new()).expect("it opens")
}

#[test]
fn two_that_conflict_get_one_winner_and_one_refusal_that_names_the_other() {
    let store = memory();
    let first = command("c-1", "ops-1", 0, &[("a-1", Wanted::Drained), ("a-2", Wanted::Drained)]);
    let second = command("c-2", "ops-2", 0, &[("b-1", Wanted::Stopped), ("a-2", Wanted::Stopped)]);
    assert_eq!(store.apply(&first).unwrap(), Outcome::Done { revision: 1 });
    let Outcome::Refused(Refusal::Conflict { instance, other }) = store.apply(&second).unwrap() else {
        panic!("it is in conflict");
    };
    assert_eq!(
        (instance.as_str(), other.by.as_str(), other.command.as_str(), other.revision),
        ("a-2", "ops-1", "c-1", 1)
    );
    let desired = store.desired().unwrap();
    assert_eq!((desired.revision, desired.instances.len()), (1, 2), "nothing of the second was done");
    // Whoever has seen the first may go on from it, and who touches others or wants the same is in nobody's way.
    assert_eq!(
        store.apply(&Command { id: "c-3".into(), against: 1, ..second.clone() }).unwrap(),
        Outcome::Done { revision: 2 }
    );
    let same = command("c-4", "ops-1", 0, &[("a-2", Wanted::Stopped), ("c-1", Wanted::Running)]);
    assert_eq!(store.apply(&same).unwrap(), Outcome::Done { revision: 3 });
    let ahead = command("c-5", "ops-1", 9, &[("a-1", Wanted::Running)]);
    assert_eq!(store.apply(&ahead).unwrap(), Outcome::Refused(Refusal::Ahead { revision: 3 }));
    let ids: Vec<String> = store.audit(0).unwrap().into_iter().map(|line| line.command.id).collect();
    assert_eq!(ids, ["c-1", "c-2", "c-3", "c-4", "c-5"], "a line for each, taken or not");
}

#[test]
fn the_same_command_twice_is_done_once() {
    let store = memory();
    let first = command("c-1", "ops-1", 0, &[("a-1", Wanted::Drained)]);
    assert_eq!(store.apply(&first).unwrap(), Outcome::Done { revision: 1 });
    let undo = command("c-2", "ops-1", 1, &[("a-1", Wanted::Running)]);
    assert_eq!(store.apply(&undo).unwrap(), Outcome::Done { revision: 2 });
    let again = Command { at_unix_ms: 99, ..first };
    assert_eq!(store.apply(&again).unwrap(), Outcome::Done { revision: 1 }, "as it was answered then");
    assert_eq!(store.desired().unwrap().instances["a-1"].wanted, Wanted::Running, "and not done again");
    let other = command("c-1", "ops-2", 2, &[("a-1", Wanted::Stopped)]);
    assert_eq!(store.apply(&other).unwrap(), Outcome::Refused(Refusal::IdTaken { by: "ops-1".into() }));
}

/// A disk: what was synced, and what was written since.
#[derive(Debug, Default)]
struct Disk {
    safe: Vec<u8>,
    now: Vec<u8>,
    /// Writes since the last sync, to be lost or not, each by itself.
    loose: Vec<(usize, Vec<u8>)>,
    /// Operations until the machine dies.
    left: usize,
    full: bool,
}

#[derive(Clone, Debug)]
struct Shared(Arc<Mutex<Disk>>);

impl Shared {
    fn does(&self, what: impl FnOnce(&mut Disk)) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        if disk.full {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        disk.left = disk.left.checked_sub(1).ok_or_else(|| std::io::Error::other("the machine is dead"))?;
        what(&mut disk);
        Ok(())
    }

    /// What a machine that starts again finds.
    fn found(&self, lost: &[bool], left: usize) -> Self {
        let disk = self.0.lock().unwrap();
        let mut safe = disk.safe.clone();
        for (number, (at, data)) in disk.loose.iter().enumerate() {
            if !lost[number % lost.len()] {
                safe.resize(safe.len().max(at + data.len()), 0);
                safe[*at..at + data.len()].copy_from_slice(data);
            }
        }
        Self(Arc::new(Mutex::new(Disk { now: safe.clone(), safe, left, ..Disk::default() })))
    }
}

impl StorageBackend for Shared {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let disk = self.0.lock().unwrap();
        let part = disk.now.get(offset as usize..offset as usize + out.len());
        out.copy_from_slice(part.ok_or(std::io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> std::io::Result<()> {
        // The length is the file system's own, and safe at once; what is cut off is gone.
        self.does(|disk| {
            disk.now.resize(len as usize, 0);
            disk.safe.resize(len as usize, 0);
            disk.loose.retain(|(at, data)| at + data.len() <= len as usize);
        })
    }

    fn sync_data(&self) -> std::io::Result<()> {
        self.does(|disk| {
            disk.safe = disk.now.clone();
            disk.loose.clear();
        })
    }

    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        self.does(|disk| {
            let at = offset as usize;
            disk.now[at..at + data.len()].copy_from_slice(data);
            disk.loose.push((at, data.to_vec()));
        })
    }
}

fn disk(left: usize) -> Shared {
    Shared(Arc::new(Mutex::new(Disk { left, ..Disk::default() })))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(150))]
    /// The machine dies after any number of writes, and any of those that were not synced are lost. What was acknowledged is
    /// there; besides it there may be the one command that was being written, whole.
    #[test]
    fn nothing_acknowledged_is_lost(dies_after in 0usize..260, lost in proptest::collection::vec(any::<bool>(), 1..9)) {
        let machine = disk(usize::MAX);
        drop(Store::on(machine.clone()).expect("it opens"));
        machine.0.lock().unwrap().left = dies_after;
        let asked: Vec<Command> = (0..12)
            .map(|n| command(&format!("c-{n}"), "ops-1", n, &[("a-1", Wanted::Drained), (["b", "c"][n as usize % 2], Wanted::Stopped)]))
            .collect();
        let mut acknowledged = 0;
        if let Ok(store) = Store::on(machine.clone()) {
            for command in &asked {
                match store.apply(command) {
                    Ok(Outcome::Done { .. }) => acknowledged += 1,
                    Ok(other) => prop_assert!(false, "{other:?}"),
                    Err(_) => break,
                }
            }
        }
        let store = Store::on(machine.found(&lost, usize::MAX)).expect("it opens after any crash");
        let audit: Vec<Command> = store.audit(0).unwrap().into_iter().map(|line| line.command).collect();
        prop_assert!((acknowledged..=acknowledged + 1).contains(&audit.len()), "{acknowledged} {}", audit.len());
        prop_assert_eq!(&audit[..], &asked[..audit.len()]);
        let desired = store.desired().unwrap();
        prop_assert_eq!(desired.revision, audit.len() as u64);
        let newest = desired.instances.values().map(|entry| entry.revision).max().unwrap_or(0);
        prop_assert_eq!(newest, desired.revision, "a command is there whole");
        // Asked again with their ids, all get what they got or would have got.
        for (number, command) in asked.iter().enumerate() {
            prop_assert_eq!(store.apply(command).unwrap(), Outcome::Done { revision: number as u64 + 1 });
        }
    }
}

#[test]
fn a_full_disk_refuses_plainly_and_loses_nothing() {
    let machine = disk(usize::MAX);
    let store = Store::on(machine.clone()).unwrap();
    let first = command("c-1", "ops-1", 0, &[("a-1", Wanted::Drained)]);
    assert_eq!(store.apply(&first).unwrap(), Outcome::Done { revision: 1 });
    machine.0.lock().unwrap().full = true;
    let second = command("c-2", "ops-1", 1, &[("a-1", Wanted::Running)]);
    let error = store.apply(&second).unwrap_err().to_string();
    assert!(error.ends_with("nothing was changed"), "{error}");
    machine.0.lock().unwrap().full = false;
    drop(store);
    let store = Store::on(machine.found(&[true], usize::MAX)).expect("it opens again");
    assert_eq!(store.desired().unwrap().instances["a-1"].wanted, Wanted::Drained);
    assert_eq!(store.apply(&second).unwrap(), Outcome::Done { revision: 2 });
}

#[test]
fn a_store_has_one_keeper_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("asked.redb");
    let first = Store::open(&path).expect("it opens");
    assert!(Store::open(&path).is_err(), "two agents on one record");
    first.apply(&command("c-1", "ops-1", 0, &[("a-1", Wanted::Running)])).unwrap();
    drop(first);
    assert_eq!(Store::open(&path).unwrap().desired().unwrap().revision, 1);
}
