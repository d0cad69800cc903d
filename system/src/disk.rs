//! The disk's own thread: takes records in order, writes what has gathered as one block, and reports how far it is. A disk that
//! hangs blocks this thread and nothing else; a write that is refused is tried again until it succeeds.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use ivyhatch_control::stored::Stored;
use ivyhatch_control::{Record, Token};
use ivyhatch_wal::{CompactingWal, Wal, WalError};
use speedy::{Readable, Writable};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The file's name in the data folder.
const FILE_NAME: &str = "control.records";
/// Wait before a write that was refused is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Writes gather into one block up to this length in bytes, and beyond it by no more than the last of them.
const BATCH_LENGTH: usize = 4 << 20;
const THREAD_STACK: usize = 256 * 1024;

/// A write for the disk.
type Write = (Token, Vec<Record>);

/// The way to the disk's thread.
pub struct Disk(Sender<Write>);

/// A disk that has been opened.
pub struct OpenedDisk {
    /// Takes writes.
    pub disk: Disk,
    /// What the file says.
    pub stored: Stored,
    /// The tokens of writes that are durable, in order.
    pub written: UnboundedReceiver<Token>,
    /// A file was there and could not be used: what this replica has promised is forgotten, also on a first start.
    pub history_lost: bool,
}

impl Disk {
    /// Opens the file, and starts the thread. A file that can't be used is set aside, and an empty one takes its place.
    ///
    /// # Errors
    /// Where the disk can't be read or written.
    pub fn start(folder: &Path) -> Result<OpenedDisk, WalError> {
        let (log, stored, history_lost) = match open(folder) {
            Err(error) if error.is_set_aside() => {
                log::error!("event=records_set_aside error={:?}", error.to_string());
                let (log, stored) = open(folder)?;
                (log, stored, true)
            }
            opened => {
                let (log, stored) = opened?;
                (log, stored, false)
            }
        };
        let (sender, writes) = channel();
        let (done, written) = unbounded_channel();
        let writer = DiskWriter { log: CompactingWal::new(log), stored: stored.clone() };
        thread::Builder::new()
            .name("disk".to_owned())
            .stack_size(THREAD_STACK)
            .spawn(move || writer.run(&writes, &done))
            .map_err(|source| WalError::Io { path: folder.to_owned(), source })?;
        Ok(OpenedDisk { disk: Self(sender), stored, written, history_lost })
    }

    /// Has records written, behind all others.
    pub fn write(&self, token: Token, records: Vec<Record>) {
        // The thread ends only with the process.
        let _ = self.0.send((token, records));
    }
}

/// Opens the file and decodes its records. A file with one that this release does not know is set aside whole: what is missing
/// may have been a promise, and records written behind it would be out of reach as well.
fn open(folder: &Path) -> Result<(Wal, Stored), WalError> {
    let (log, records) = Wal::open(folder, FILE_NAME)?;
    let mut stored = Stored::default();
    for (index, bytes) in records.iter().enumerate() {
        match decode(bytes) {
            Ok(record) => stored.apply(record),
            Err(reason) => return Err(log.reject(index, reason)),
        }
    }
    Ok((log, stored))
}

fn decode(bytes: &[u8]) -> Result<Record, String> {
    let (record, length) = Record::read_with_length_from_buffer(bytes);
    match record {
        Ok(record) if length == bytes.len() => Ok(record),
        Ok(_) => Err(format!("{} bytes too long", bytes.len() - length)),
        Err(error) => Err(error.to_string()),
    }
}

fn encode<'a>(records: impl IntoIterator<Item = &'a Record>) -> Vec<Vec<u8>> {
    // Writing to memory fails for nothing that a record holds.
    records.into_iter().filter_map(|record| record.write_to_vec().ok()).collect()
}

/// What the thread owns.
struct DiskWriter {
    log: CompactingWal,
    /// What the file says once all that was taken is written.
    stored: Stored,
}

impl DiskWriter {
    fn run(mut self, writes: &Receiver<Write>, done: &UnboundedSender<Token>) {
        while let Ok(first) = writes.recv() {
            let batch = Batch::gather(first, writes);
            batch.records.iter().for_each(|record| self.stored.apply(record.clone()));
            if !batch.encoded.is_empty() {
                self.write(&batch.encoded);
            }
            for token in batch.tokens {
                let _ = done.send(token);
            }
        }
    }

    /// Returns when the records are durable.
    fn write(&mut self, records: &[Vec<u8>]) {
        let stored = &self.stored;
        loop {
            match self.log.write(records, || encode(&stored.records())) {
                Ok(written) => {
                    if let Some(error) = written.compaction_error {
                        log::warn!("event=compaction_failed error={:?}", error.to_string());
                    }
                    return;
                }
                Err(error) => log::warn!("event=disk_refused error={:?}", error.to_string()),
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Writes that go to the disk together.
struct Batch {
    tokens: Vec<Token>,
    records: Vec<Record>,
    encoded: Vec<Vec<u8>>,
}

impl Batch {
    /// The first write, and what has come behind it meanwhile.
    fn gather(first: Write, writes: &Receiver<Write>) -> Self {
        let mut batch = Self { tokens: Vec::new(), records: Vec::new(), encoded: Vec::new() };
        let mut length = batch.add(first);
        while length < BATCH_LENGTH
            && let Ok(next) = writes.try_recv()
        {
            length += batch.add(next);
        }
        batch
    }

    /// Adds a write, and gives its length in bytes.
    fn add(&mut self, (token, records): Write) -> usize {
        let encoded = encode(&records);
        let length = encoded.iter().map(Vec::len).sum();
        self.tokens.push(token);
        self.records.extend(records);
        self.encoded.extend(encoded);
        length
    }
}
