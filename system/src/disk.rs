//! The write-ahead log of the control state on disk, written by a thread of its own.
//!
//! The thread owns the file. It receives write requests in order from a channel, merges the queued ones into one batch, and reports the
//! token of each write once the write is durable. The channel is unbounded: the state machine acknowledges nothing before it has the
//! token back, which limits the queue. A disk that hangs blocks only this thread; a failed write is retried until it succeeds. The thread
//! ends with the process: writes that are not durable by then were not acknowledged.

use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::Duration;

use ivyhatch_control::storage::durable_state::DurableState;
use ivyhatch_control::{Record, WriteToken};
use ivyhatch_wal::{CompactingWal, Wal, WalError};
use speedy::{Readable, Writable};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The name of the log file in the data folder.
const FILE_NAME: &str = "control.records";
/// Pause before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Write requests are merged into one batch until it has this length. The last request may exceed the limit.
const MAX_BATCH_BYTES: usize = 4 << 20;
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// Records to be written, and the token that is reported once they are durable.
struct WriteRequest {
    token: WriteToken,
    records: Vec<Record>,
}

/// A handle on the thread that writes to the disk.
pub struct Disk {
    requests: Sender<WriteRequest>,
}

/// The result of opening the disk.
pub struct OpenedDisk {
    /// The handle for queueing writes.
    pub disk: Disk,
    /// The state that the file holds.
    pub stored: DurableState,
    /// The tokens of durable writes, in order.
    pub durable_tokens: UnboundedReceiver<WriteToken>,
    /// Whether an unusable file was set aside, so that this replica's promises are lost. If true, the start must not count as the first.
    pub history_lost: bool,
}

impl Disk {
    /// Opens the log file and starts the thread. An unusable file is set aside and replaced by an empty one.
    ///
    /// # Errors
    /// If the disk can't be read or written, or the thread can't be started.
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

    /// Queues records behind all earlier ones. The token is reported once the records are durable.
    pub fn write(&self, token: WriteToken, records: Vec<Record>) {
        // Fails only if the thread has dropped the receiver, which happens only at the end of the process.
        let _ = self.requests.send(WriteRequest { token, records });
    }
}

/// Opens the log file and decodes its records. A file with an unknown record is set aside as a whole: the record may hold a promise, and
/// records written after it could not be read either.
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

/// Why stored bytes can't be decoded as a record by this release.
#[derive(Debug, thiserror::Error)]
enum RecordDecodeError {
    #[error("{0} bytes follow the end of the record")]
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
    // Serialisation to memory can't fail, as records contain no value that speedy rejects.
    records.into_iter().filter_map(|record| record.write_to_vec().ok()).collect()
}

/// The state of the thread that writes to the disk.
struct DiskWriter {
    log: CompactingWal,
    /// The state that the file holds once all requests received so far are written. The next compaction writes this state.
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

    /// Writes records, retrying every [`RETRY_INTERVAL`]. Returns once the records are durable.
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

/// Write requests that are written together.
struct Batch {
    tokens: Vec<WriteToken>,
    records: Vec<Record>,
    encoded: Vec<Vec<u8>>,
}

impl Batch {
    /// Merges the first request with those queued behind it, up to [`MAX_BATCH_BYTES`].
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

    /// Adds a request, and returns the length of its encoded records in bytes.
    fn add(&mut self, request: WriteRequest) -> usize {
        let encoded = encode(&request.records);
        let length = encoded.iter().map(Vec::len).sum();
        self.tokens.push(request.token);
        self.records.extend(request.records);
        self.encoded.extend(encoded);
        length
    }
}
