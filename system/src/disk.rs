//! The disk's own thread: takes records in order, writes what has gathered as one block, and tells how far it is. A disk that
//! hangs holds this thread up and nothing else; one that refuses is tried again with a file written anew.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use ivyhatch_control::stored::Stored;
use ivyhatch_control::{Record, Token};
use ivyhatch_records::{Log, RecordsError};
use speedy::{Readable, Writable};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The file's name in the data folder.
const NAME: &str = "control.records";
/// A file is rewritten once it is longer than this, and than some times what it says.
const LONG: u64 = 2 << 20;
const TIMES: u64 = 6;
/// Wait before a disk that has refused a write is tried again.
const AGAIN: Duration = Duration::from_millis(200);

/// A write for the disk.
type Write = (Token, Vec<Record>);

/// The way to the disk's thread.
pub struct Disk(Sender<Write>);

impl Disk {
    /// Opens the file, and starts the thread. Returns what the file holds, and how far the thread is.
    ///
    /// # Errors
    /// Where the disk can't be read.
    pub fn start(folder: &std::path::Path) -> Result<(Self, Stored, UnboundedReceiver<Token>), RecordsError> {
        let (log, found) = match Log::open(folder, NAME) {
            // What is missing may have been a promise: as if it had an empty disk, the node asks the others.
            Err(error @ RecordsError::Damaged { .. }) => {
                log::error!("event=damaged_records error={:?}", error.to_string());
                Log::open(folder, NAME)?
            }
            opened => opened?,
        };
        let mut stored = Stored::default();
        for record in &found {
            match Record::read_from_buffer(record) {
                Ok(record) => stored.apply(record),
                Err(error) => {
                    log::error!("event=foreign_record error={error:?} remedy=bring_all_to_one_release");
                    stored = Stored::default();
                    break;
                }
            }
        }
        let (sender, writes) = channel();
        let (done, told) = unbounded_channel();
        let known = stored.clone();
        thread::Builder::new()
            .name("disk".to_owned())
            .stack_size(256 * 1024)
            .spawn(move || run(log, known, &writes, &done))
            .map_err(|source| RecordsError::Disk { path: folder.to_owned(), source })?;
        Ok((Self(sender), stored, told))
    }

    /// Has records written, behind all others.
    pub fn write(&self, token: Token, records: Vec<Record>) {
        // The thread ends only with the process.
        let _ = self.0.send((token, records));
    }
}

fn run(mut log: Log, mut stored: Stored, writes: &Receiver<Write>, done: &UnboundedSender<Token>) {
    while let Ok(first) = writes.recv() {
        let (mut tokens, mut records) = (Vec::new(), Vec::new());
        for (token, more) in std::iter::once(first).chain(writes.try_iter()) {
            tokens.push(token);
            records.extend(more);
        }
        let bytes: Vec<Vec<u8>> = records.iter().filter_map(|record| record.write_to_vec().ok()).collect();
        records.into_iter().for_each(|record| stored.apply(record));
        let mut kept = bytes.is_empty();
        while !kept {
            kept = write(&mut log, &stored, &bytes);
            if !kept {
                thread::sleep(AGAIN);
            }
        }
        for token in tokens {
            let _ = done.send(token);
        }
    }
}

fn write(log: &mut Log, stored: &Stored, bytes: &[Vec<u8>]) -> bool {
    let all = || -> Vec<Vec<u8>> {
        stored.records().iter().filter_map(|record| record.write_to_vec().ok()).collect()
    };
    let result = if !log.is_fit() {
        log.rewrite(&all())
    } else {
        log.append(bytes).and_then(|()| {
            let all = all();
            let size: u64 = all.iter().map(|record| record.len() as u64).sum();
            if log.length() > LONG.max(size * TIMES) { log.rewrite(&all) } else { Ok(()) }
        })
    };
    if let Err(error) = &result {
        log::warn!("event=disk_refused error={:?}", error.to_string());
    }
    result.is_ok()
}
