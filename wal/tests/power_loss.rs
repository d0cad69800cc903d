//! Crashes at every operation, power losses that keep or lose each name and each unsynced write independently, and
//! failed disk operations: acknowledged records survive, and the file is valid.

mod model;

use std::io::ErrorKind;

use googletest::prelude::*;
use ivyhatch_wal::{CompactingWal, Wal, WalError};
use model::{Fault, ModelDisk};

const NAME: &str = "log";
/// An upper bound of the number of disk operations in a script.
const MAX_OPERATIONS: usize = 200;

type Records = Vec<Vec<u8>>;

fn record(number: usize) -> Vec<u8> {
    format!("record {number}").into_bytes()
}

fn records(numbers: std::ops::Range<usize>) -> Records {
    numbers.map(record).collect()
}

/// The acknowledged records, and those of the call that has not returned successfully.
#[derive(Clone, Debug, Default)]
struct Outcome {
    acknowledged: Records,
    in_flight: Records,
}

impl Outcome {
    /// Whether a crash may leave these records: all acknowledged records, and all or none of those in flight.
    fn allows(&self, found: &Records) -> bool {
        let with_rest: Records = self.acknowledged.iter().chain(&self.in_flight).cloned().collect();
        *found == self.acknowledged || *found == with_rest
    }
}

/// Opens the log, appends, rewrites the file twice, and appends again, until an operation fails.
fn run_script(disk: &ModelDisk) -> Outcome {
    let mut outcome = Outcome::default();
    let Ok((mut log, found)) = Wal::open_in(disk.clone(), NAME) else { return outcome };
    outcome.acknowledged = found;
    for step in 0..8_usize {
        let written = if step % 3 == 2 {
            // The rewritten file has the same records.
            outcome.in_flight.clear();
            log.rewrite(&outcome.acknowledged)
        } else {
            let first = outcome.acknowledged.len();
            outcome.in_flight = records(first..first + 2);
            log.append(&outcome.in_flight)
        };
        if written.is_err() {
            return outcome;
        }
        outcome.acknowledged.append(&mut outcome.in_flight);
    }
    outcome
}

fn reopened(disk: &ModelDisk) -> std::result::Result<Records, WalError> {
    Wal::open_in(disk.clone(), NAME).map(|(_, found)| found)
}

#[gtest]
fn acknowledged_records_survive_a_power_loss_at_any_operation() {
    let mut disks = 0;
    for crash_at in 0..MAX_OPERATIONS {
        let disk = ModelDisk::with_fault(Fault::CrashAt(crash_at));
        let outcome = run_script(&disk);
        for after in disk.after_power_loss() {
            disks += 1;
            let found = reopened(&after).expect("file is valid");
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
        let disk = ModelDisk::with_fault(Fault::CrashAt(crash_at));
        let outcome = run_script(&disk);
        let killed = disk.after_kill();
        let read = reopened(&killed).expect("file is valid");
        expect_true!(outcome.allows(&read), "crash at {crash_at}: {outcome:?} left {read:?}");
        for after in killed.after_power_loss() {
            let found = reopened(&after).expect("file is valid");
            expect_that!(found, eq(&read), "crash at {crash_at}, names {:?}", after.file_names());
        }
        if disk.operations() <= crash_at {
            return;
        }
    }
    fail!("the script did not end").and_log_failure();
}

#[gtest]
fn records_acknowledged_before_and_after_a_crash_survive_a_power_loss() {
    for first_crash in 0..40 {
        let disk = ModelDisk::with_fault(Fault::CrashAt(first_crash));
        run_script(&disk);
        for after in std::iter::once(disk.after_kill()).chain(disk.after_power_loss()) {
            let outcome = run_script(&after);
            for last in after.after_power_loss() {
                let found = reopened(&last).expect("file is valid");
                expect_true!(outcome.allows(&found), "crash at {first_crash}: {outcome:?} left {found:?}");
            }
        }
    }
}

/// Appends with a growing state, and retries failed appends. Returns the acknowledged records and the errors.
fn append_with_retries(disk: &ModelDisk, writes: usize) -> (Records, Vec<WalError>) {
    let opened = (0..MAX_OPERATIONS).find_map(|_| Wal::open_in(disk.clone(), NAME).ok());
    let (log, mut acknowledged) = opened.expect("log opens once the disk has recovered");
    let (mut log, mut errors) = (CompactingWal::new(log), Vec::new());
    for number in 0..writes {
        let next = records(number..number + 1);
        let all: Records = acknowledged.iter().chain(&next).cloned().collect();
        let mut is_appended = false;
        for _ in 0..MAX_OPERATIONS {
            match log.append(&next, || all.clone()) {
                Ok(_) => {
                    is_appended = true;
                    break;
                }
                Err(error) => {
                    // A failed append must not put acknowledged records at risk.
                    for after in disk.after_power_loss() {
                        let found = reopened(&after).expect("file is valid");
                        expect_true!(
                            found == acknowledged || found == all,
                            "{error}: left {found:?} of {acknowledged:?}"
                        );
                    }
                    errors.push(error);
                }
            }
        }
        assert!(is_appended, "append never succeeds: {errors:?}");
        acknowledged = all;
    }
    (acknowledged, errors)
}

#[gtest]
fn failed_disk_operations_lose_no_acknowledged_records() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        for fail_at in 0..MAX_OPERATIONS {
            for length in [1, 2, 3, 5, 9] {
                let disk = ModelDisk::with_fault(Fault::FailFrom(fail_at, fail_at + length, kind));
                expect_acknowledged_records_survive(&disk);
            }
            let disk = ModelDisk::with_fault(Fault::FailAt(fail_at, kind));
            expect_acknowledged_records_survive(&disk);
            if disk.operations() <= fail_at {
                break;
            }
        }
    }
}

fn expect_acknowledged_records_survive(disk: &ModelDisk) {
    let (acknowledged, _) = append_with_retries(disk, 6);
    for after in disk.after_power_loss() {
        expect_that!(reopened(&after).expect("file is valid"), eq(&acknowledged));
    }
}

#[gtest]
fn appends_after_a_rewrite_that_failed_at_any_step_are_durable() {
    for kind in [ErrorKind::StorageFull, ErrorKind::Other] {
        for fail_at in 0..MAX_OPERATIONS {
            let disk = ModelDisk::with_fault(Fault::FailAt(fail_at, kind));
            append_and_rewrite_despite_errors(&disk);
            if disk.operations() <= fail_at {
                break;
            }
        }
    }
}

/// Alternates appends and rewrites, whether they succeed or not, and checks after each step which records a power
/// loss would leave.
fn append_and_rewrite_despite_errors(disk: &ModelDisk) {
    let opened = (0..MAX_OPERATIONS).find_map(|_| Wal::open_in(disk.clone(), NAME).ok());
    let (mut log, mut acknowledged) = opened.expect("log opens once the disk has recovered");
    for step in 0..9_usize {
        let next = if step % 3 == 1 { Vec::new() } else { records(step..step + 1) };
        let written = if next.is_empty() { log.rewrite(&acknowledged) } else { log.append(&next) };
        let outcome = match written {
            Ok(()) => {
                acknowledged.extend(next);
                Outcome { acknowledged: acknowledged.clone(), in_flight: Vec::new() }
            }
            Err(_) => Outcome { acknowledged: acknowledged.clone(), in_flight: next },
        };
        for after in disk.after_power_loss() {
            let found = reopened(&after).expect("file is valid");
            expect_true!(outcome.allows(&found), "step {step}: {outcome:?} left {found:?}");
        }
    }
}

#[gtest]
fn full_disk_is_a_typed_error_and_appends_succeed_once_there_is_space() {
    let disk = ModelDisk::default();
    let (log, _) = Wal::open_in(disk.clone(), NAME).expect("log opens");
    let mut log = CompactingWal::new(log);
    let first = records(0..3);
    log.append(&first, || first.clone()).expect("space for the append");
    // Space for a part of the next block, but not for a second file.
    disk.set_capacity(Some(disk.used() + 7));
    let next = records(3..4);
    let all = records(0..4);
    for _ in 0..3 {
        expect_that!(log.append(&next, || all.clone()), err(matches_pattern!(WalError::DiskFull { .. })));
        for after in disk.after_power_loss() {
            expect_that!(reopened(&after).expect("file is valid"), eq(&first));
        }
    }
    // Space for the block, but still not for a second file: the block is appended to the present file.
    disk.set_capacity(Some(disk.used() + 40));
    expect_that!(log.append(&next, || all.clone()), ok(anything()));
    for after in disk.after_power_loss() {
        expect_that!(reopened(&after).expect("file is valid"), eq(&all));
    }
}

#[gtest]
fn stale_temporary_file_is_ignored_and_removed() {
    let disk = ModelDisk::default();
    let (mut log, _) = Wal::open_in(disk.clone(), NAME).expect("log opens");
    log.append(&records(0..2)).expect("written");
    {
        use ivyhatch_wal::Storage;
        let mut stale = disk.create("log.new").expect("created");
        disk.write(&mut stale, 0, b"half").expect("written");
        disk.sync(&mut stale).expect("synced");
        disk.sync_directory().expect("synced");
    }
    for after in disk.after_power_loss() {
        expect_that!(reopened(&after).expect("file is valid"), eq(&records(0..2)));
        expect_that!(after.file_names(), elements_are![eq("log")]);
    }
}
