//! Crashes at every operation, losses of power that keep or lose each name and each unsynced write by itself, and disks that
//! refuse: what was confirmed is there at the next start, and the file is sound.

mod model;

use std::io::ErrorKind;

use googletest::prelude::*;
use ivyhatch_wal::{CompactingWal, Wal, WalError};
use model::{ModelDisk, Trouble};

const NAME: &str = "log";
/// More operations than the longest script has.
const MAX_OPERATIONS: usize = 200;

type Records = Vec<Vec<u8>>;

fn record(number: usize) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

fn records(numbers: std::ops::Range<usize>) -> Records {
    numbers.map(record).collect()
}

/// What a process has been told, and what it was told nothing about yet.
#[derive(Clone, Debug, Default)]
struct Outcome {
    confirmed: Records,
    in_flight: Records,
}

impl Outcome {
    /// Whether a file with these records is what may be left: all that was confirmed, and of the rest all or nothing.
    fn allows(&self, found: &Records) -> bool {
        let with_rest: Records = self.confirmed.iter().chain(&self.in_flight).cloned().collect();
        *found == self.confirmed || *found == with_rest
    }
}

/// Opens the log, appends, replaces the file twice, and appends again, until the disk refuses.
fn run_script(disk: &ModelDisk) -> Outcome {
    let mut outcome = Outcome::default();
    let Ok((mut log, found)) = Wal::open_in(disk.clone(), NAME) else { return outcome };
    outcome.confirmed = found;
    for step in 0..8_usize {
        let written = if step % 3 == 2 {
            // The replacement says the same as the file it replaces.
            outcome.in_flight.clear();
            log.rewrite(&outcome.confirmed)
        } else {
            let first = outcome.confirmed.len();
            outcome.in_flight = records(first..first + 2);
            log.append(&outcome.in_flight)
        };
        if written.is_err() {
            return outcome;
        }
        outcome.confirmed.append(&mut outcome.in_flight);
    }
    outcome
}

fn reopened(disk: &ModelDisk) -> std::result::Result<Records, WalError> {
    Wal::open_in(disk.clone(), NAME).map(|(_, found)| found)
}

#[gtest]
fn every_power_loss_keeps_what_was_confirmed() {
    let mut disks = 0;
    for crash_at in 0..MAX_OPERATIONS {
        let disk = ModelDisk::with_trouble(Trouble::CrashAt(crash_at));
        let outcome = run_script(&disk);
        for after in disk.after_power_loss() {
            disks += 1;
            let found = reopened(&after).expect("a sound file");
            expect_true!(
                outcome.allows(&found),
                "crash at {crash_at}, names {:?}: {outcome:?} left {found:?}",
                after.file_names()
            );
        }
        if disk.operations() <= crash_at {
            expect_that!(disks, gt(50));
            return;
        }
    }
    fail!("the script did not end").and_log_failure();
}

#[gtest]
fn records_read_after_a_kill_survive_a_power_loss_right_after_it() {
    for crash_at in 0..MAX_OPERATIONS {
        let disk = ModelDisk::with_trouble(Trouble::CrashAt(crash_at));
        let outcome = run_script(&disk);
        let killed = disk.after_kill();
        let read = reopened(&killed).expect("a sound file");
        expect_true!(outcome.allows(&read), "crash at {crash_at}: {outcome:?} left {read:?}");
        for after in killed.after_power_loss() {
            let found = reopened(&after).expect("a sound file");
            expect_that!(found, eq(&read), "crash at {crash_at}, names {:?}", after.file_names());
        }
        if disk.operations() <= crash_at {
            return;
        }
    }
    fail!("the script did not end").and_log_failure();
}

#[gtest]
fn a_second_run_after_any_crash_keeps_what_both_confirmed() {
    for first_crash in 0..40 {
        let disk = ModelDisk::with_trouble(Trouble::CrashAt(first_crash));
        run_script(&disk);
        for after in std::iter::once(disk.after_kill()).chain(disk.after_power_loss()) {
            let outcome = run_script(&after);
            for last in after.after_power_loss() {
                let found = reopened(&last).expect("a sound file");
                expect_true!(outcome.allows(&found), "crash at {first_crash}: {outcome:?} left {found:?}");
            }
        }
    }
}

/// Writes with a state that grows, and tries again what was refused. Gives what was confirmed, and how often it was refused.
fn write_persistently(disk: &ModelDisk, writes: usize) -> (Records, Vec<WalError>) {
    let opened = (0..MAX_OPERATIONS).find_map(|_| Wal::open_in(disk.clone(), NAME).ok());
    let (log, mut confirmed) = opened.expect("opened once the disk is well");
    let (mut log, mut errors) = (CompactingWal::new(log), Vec::new());
    for number in 0..writes {
        let next = records(number..number + 1);
        let all: Records = confirmed.iter().chain(&next).cloned().collect();
        let mut is_written = false;
        for _ in 0..MAX_OPERATIONS {
            match log.append(&next, || all.clone()) {
                Ok(_) => {
                    is_written = true;
                    break;
                }
                Err(error) => {
                    // Nothing that was confirmed may be at risk while the disk refuses.
                    for after in disk.after_power_loss() {
                        let found = reopened(&after).expect("a sound file");
                        expect_true!(
                            found == confirmed || found == all,
                            "{error}: left {found:?} of {confirmed:?}"
                        );
                    }
                    errors.push(error);
                }
            }
        }
        assert!(is_written, "never written: {errors:?}");
        confirmed = all;
    }
    (confirmed, errors)
}

#[gtest]
fn a_disk_that_refuses_any_operation_loses_nothing_that_was_confirmed() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        for fail_at in 0..MAX_OPERATIONS {
            for length in [1, 2, 3, 5, 9] {
                let disk = ModelDisk::with_trouble(Trouble::FailFrom(fail_at, fail_at + length, kind));
                expect_kept(&disk);
            }
            let disk = ModelDisk::with_trouble(Trouble::FailAt(fail_at, kind));
            expect_kept(&disk);
            if disk.operations() <= fail_at {
                break;
            }
        }
    }
}

fn expect_kept(disk: &ModelDisk) {
    let (confirmed, _) = write_persistently(disk, 6);
    for after in disk.after_power_loss() {
        expect_that!(reopened(&after).expect("a sound file"), eq(&confirmed));
    }
}

#[gtest]
fn appends_after_a_replacement_that_failed_at_any_step_are_durable() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        for fail_at in 0..MAX_OPERATIONS {
            let disk = ModelDisk::with_trouble(Trouble::FailAt(fail_at, kind));
            go_on_after_errors(&disk);
            if disk.operations() <= fail_at {
                break;
            }
        }
    }
}

/// Appends and replaces by turns, whatever is refused, and looks after each step at what a loss of power would leave.
fn go_on_after_errors(disk: &ModelDisk) {
    let opened = (0..MAX_OPERATIONS).find_map(|_| Wal::open_in(disk.clone(), NAME).ok());
    let (mut log, mut confirmed) = opened.expect("opened once the disk is well");
    for step in 0..9_usize {
        let next = if step % 3 == 1 { Vec::new() } else { records(step..step + 1) };
        let written = if next.is_empty() { log.rewrite(&confirmed) } else { log.append(&next) };
        let outcome = match written {
            Ok(()) => {
                confirmed.extend(next);
                Outcome { confirmed: confirmed.clone(), in_flight: Vec::new() }
            }
            Err(_) => Outcome { confirmed: confirmed.clone(), in_flight: next },
        };
        for after in disk.after_power_loss() {
            let found = reopened(&after).expect("a sound file");
            expect_true!(outcome.allows(&found), "step {step}: {outcome:?} left {found:?}");
        }
    }
}

#[gtest]
fn a_full_disk_is_a_typed_error_and_writes_go_on_once_there_is_room() {
    let disk = ModelDisk::default();
    let (log, _) = Wal::open_in(disk.clone(), NAME).expect("opened");
    let mut log = CompactingWal::new(log);
    let first = records(0..3);
    log.append(&first, || first.clone()).expect("there is room");
    // Room for a part of the next block, and for no second file.
    disk.set_capacity(Some(disk.used() + 7));
    let next = records(3..4);
    let all = records(0..4);
    for _ in 0..3 {
        expect_that!(log.append(&next, || all.clone()), err(matches_pattern!(WalError::DiskFull { .. })));
        for after in disk.after_power_loss() {
            expect_that!(reopened(&after).expect("a sound file"), eq(&first));
        }
    }
    // Room for the block and still for no second file: the present file takes it.
    disk.set_capacity(Some(disk.used() + 40));
    expect_that!(log.append(&next, || all.clone()), ok(anything()));
    for after in disk.after_power_loss() {
        expect_that!(reopened(&after).expect("a sound file"), eq(&all));
    }
}

#[gtest]
fn a_stale_replacement_is_of_no_account_and_removed() {
    let disk = ModelDisk::default();
    let (mut log, _) = Wal::open_in(disk.clone(), NAME).expect("opened");
    log.append(&records(0..2)).expect("written");
    {
        use ivyhatch_wal::Storage;
        let mut stale = disk.create("log.new").expect("made");
        disk.write(&mut stale, 0, b"half").expect("written");
        disk.sync(&mut stale).expect("synced");
        disk.sync_directory().expect("synced");
    }
    for after in disk.after_power_loss() {
        expect_that!(reopened(&after).expect("a sound file"), eq(&records(0..2)));
        expect_that!(after.file_names(), elements_are![eq("log")]);
    }
}
