//! The control state's write-ahead log on disk, written by a thread of its own.
//!
//! The thread owns the file. It takes writes in order from a channel, gathers what is queued into one batch, and reports each write's
//! token once it is durable. The channel has no bound of its own: the state machine acknowledges nothing before its token is back. A
//! disk that hangs blocks this thread and nothing else; a write that fails is retried until it succeeds. The thread ends with the
//! process: writes that are not durable by then were not acknowledged.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{Record, WriteToken};
use ivyhatch_wal::{CompactingWal, Wal, WalError};
use speedy::{Readable, Writable};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The file's name in the data folder.
const FILE_NAME: &str = "control.records";
/// Pause before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Writes are gathered into one batch up to this length, and beyond it by no more than the last of them.
const MAX_BATCH_BYTES: usize = 4 << 20;
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Records to be written, and the token by which their durability is reported.
struct WriteRequest {
    token: WriteToken,
    records: Vec<Record>,
}

/// A handle on the disk's thread.
pub struct Disk {
    requests: Sender<WriteRequest>,
}

/// A disk that has been opened.
pub struct OpenedDisk {
    /// Takes writes.
    pub disk: Disk,
    /// The state that the file holds.
    pub stored: DurableState,
    /// The tokens of durable writes, in order.
    pub durable_tokens: UnboundedReceiver<WriteToken>,
    /// A file was there and could not be used: this replica's promises are lost, also on a first start.
    pub history_lost: bool,
}

impl Disk {
    /// Opens the file and starts the thread. An unusable file is set aside, and an empty one takes its place.
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
        let (requests, queued_requests) = channel();
        let (durable, durable_tokens) = unbounded_channel();
        let writer = DiskWriter { log: CompactingWal::new(log), stored: stored.clone() };
        thread::Builder::new()
            .name("disk".to_owned())
            .stack_size(THREAD_STACK_BYTES)
            .spawn(move || writer.run(&queued_requests, &durable))
            .map_err(|source| WalError::Io { path: folder.to_owned(), source })?;
        Ok(OpenedDisk { disk: Self { requests }, stored, durable_tokens, history_lost })
    }

    /// Queues records behind all earlier ones. The token is reported once they are durable.
    pub fn write(&self, token: WriteToken, records: Vec<Record>) {
        // The receiver is dropped only with the process.
        let _ = self.requests.send(WriteRequest { token, records });
    }
}

/// Opens the file and decodes its records. A file with an unknown record is set aside whole: the record may hold a promise, and
/// records written behind it would be unreadable as well.
fn open(folder: &Path) -> Result<(Wal, DurableState), WalError> {
    let (log, records) = Wal::open(folder, FILE_NAME)?;
    let mut stored = DurableState::default();
    for (index, bytes) in records.iter().enumerate() {
        match decode(bytes) {
            Ok(record) => stored.apply(record),
            Err(error) => return Err(log.reject_record(index, error.to_string())),
        }
    }
    Ok((log, stored))
}

/// Why stored bytes are no record of this release.
#[derive(Debug, thiserror::Error)]
enum RecordDecodeError {
    #[error("{0} bytes too long")]
    TrailingBytes(usize),
    #[error(transparent)]
    Malformed(#[from] speedy::Error),
}

fn decode(bytes: &[u8]) -> Result<Record, RecordDecodeError> {
    let (record, length) = Record::read_with_length_from_buffer(bytes);
    let record = record?;
    if length != bytes.len() {
        return Err(RecordDecodeError::TrailingBytes(bytes.len() - length));
    }
    Ok(record)
}

fn encode<'a>(records: impl IntoIterator<Item = &'a Record>) -> Vec<Vec<u8>> {
    // Serialising to memory can't fail: a record holds nothing that speedy rejects.
    records.into_iter().filter_map(|record| record.write_to_vec().ok()).collect()
}

/// The state of the disk's thread.
struct DiskWriter {
    log: CompactingWal,
    /// The state that the file holds once all requests taken so far are written; the content of the next compaction.
    stored: DurableState,
}

impl DiskWriter {
    fn run(mut self, requests: &Receiver<WriteRequest>, durable: &UnboundedSender<WriteToken>) {
        while let Ok(first) = requests.recv() {
            let batch = Batch::gather(first, requests);
            batch.records.iter().for_each(|record| self.stored.apply(record.clone()));
            if !batch.encoded.is_empty() {
                self.write_until_durable(&batch.encoded);
            }
            for token in batch.tokens {
                let _ = durable.send(token);
            }
        }
    }

    /// Returns when the records are durable.
    fn write_until_durable(&mut self, records: &[Vec<u8>]) {
        let stored = &self.stored;
        loop {
            match self.log.append(records, || encode(&stored.records())) {
                Ok(written) => {
                    if let Some(error) = written.compaction_error {
                        log::warn!("event=compaction_failed error={:?}", error.to_string());
                    }
                    return;
                }
                Err(error) => log::warn!("event=disk_write_failed error={:?}", error.to_string()),
            }
            thread::sleep(RETRY_INTERVAL);
        }
    }
}

/// Requests that are written together.
struct Batch {
    tokens: Vec<WriteToken>,
    records: Vec<Record>,
    encoded: Vec<Vec<u8>>,
}

impl Batch {
    /// The first request, and those that are queued behind it.
    fn gather(first: WriteRequest, requests: &Receiver<WriteRequest>) -> Self {
        let mut batch = Self { tokens: Vec::new(), records: Vec::new(), encoded: Vec::new() };
        let mut length = batch.add(first);
        while length < MAX_BATCH_BYTES
            && let Ok(next) = requests.try_recv()
        {
            length += batch.add(next);
        }
        batch
    }

    /// Adds a request and returns its length in bytes.
    fn add(&mut self, request: WriteRequest) -> usize {
        let encoded = encode(&request.records);
        let length = encoded.iter().map(Vec::len).sum();
        self.tokens.push(request.token);
        self.records.extend(request.records);
        self.encoded.extend(encoded);
        length
    }
}
