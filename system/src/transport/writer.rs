//! The send queue of a connection. Small messages are written first; fragments of large messages (bulk) follow at a limited rate.
//!
//! [`Writer`] is the sending end of the queue, held by the code that sends messages to the peer. [`SendQueue`] is owned by the
//! connection's task, which writes the queue's content with [`SendQueue::write_to`]. Both count the queued bytes in a shared
//! `QueuedBytes`. Dropping all writers ends the task's loop; once the queue is dropped, each send returns false.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::frame;
use speedy::{LittleEndian, Writable};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until, timeout};

/// A write that blocks for longer than this because the peer does not read ends the connection.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of queued bytes. If the queue is full, the peer is assumed not to read, and its connection is closed.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// Small messages are merged into one write up to this length.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// The rate of bulk on a connection: half of a link of 10 Mbit/s, so that the other half is left for requests.
const BULK_BYTES_PER_SECOND: f64 = 640.0 * 1024.0;
/// The rate of bulk is raised if writing all queued bulk would take longer than this.
const BULK_DRAIN_TARGET: Duration = Duration::from_millis(1000);
/// After a pause, as much bulk as the rate allows in this time may be written at once.
const BULK_BURST: Duration = Duration::from_millis(100);

/// Limits the total rate of bulk of all connections that share the pacer: to half of the bandwidth of the machine's link, or to the
/// higher rate at which all queued bulk is written within `BULK_DRAIN_TARGET`. Without this limit, a configuration that is sent on many
/// connections at once would fill the link and delay all other traffic of the machine.
pub struct BulkPacer {
    bytes_per_second: f64,
    /// The queued bulk of all connections, in bytes.
    queued: Cell<usize>,
    /// When the next write of bulk may begin.
    next_at: Cell<Instant>,
}

impl BulkPacer {
    /// Creates the pacer of a machine whose link has this bandwidth, in bytes per second. If the bandwidth is unknown, only the rate of
    /// each connection is limited.
    pub fn new(link_bytes_per_second: Option<f64>) -> Self {
        let bytes_per_second = link_bytes_per_second.map_or(f64::INFINITY, |rate| rate / 2.0);
        Self { bytes_per_second, queued: Cell::new(0), next_at: Cell::new(Instant::now()) }
    }

    /// Reserves the time that it takes to write `length` bytes at the limited rate. Returns when the write may begin.
    fn reserve(&self, length: usize) -> Instant {
        let rate = self.bytes_per_second.max(self.queued.get() as f64 / BULK_DRAIN_TARGET.as_secs_f64());
        let begins_at = self.next_at.get().max(Instant::now());
        self.next_at.set(begins_at + Duration::from_secs_f64(length as f64 / rate));
        begins_at
    }

    fn add_queued(&self, length: usize) {
        self.queued.set(self.queued.get() + length);
    }

    fn remove_queued(&self, length: usize) {
        self.queued.set(self.queued.get().saturating_sub(length));
    }
}

/// The sending end of a connection's queue.
#[derive(Clone)]
pub struct Writer {
    messages: UnboundedSender<Rc<Vec<u8>>>,
    bulk_frames: UnboundedSender<Rc<Vec<u8>>>,
    queued: Rc<QueuedBytes>,
}

/// The number of bytes in a connection's queue, in total and of bulk.
struct QueuedBytes {
    total: Cell<usize>,
    bulk: Cell<usize>,
    pacer: Rc<BulkPacer>,
}

impl QueuedBytes {
    fn add_bulk(&self, length: usize) {
        self.bulk.set(self.bulk.get() + length);
        self.pacer.add_queued(length);
    }

    fn remove_bulk(&self, length: usize) {
        self.bulk.set(self.bulk.get().saturating_sub(length));
        self.pacer.remove_queued(length);
    }
}

impl Drop for QueuedBytes {
    fn drop(&mut self) {
        self.pacer.remove_queued(self.bulk.get());
    }
}

impl Writer {
    /// Creates the two ends of an empty queue. Its bulk shares the rate of `pacer` with that of other connections.
    pub fn new(pacer: Rc<BulkPacer>) -> (Self, SendQueue) {
        let (messages, queued_messages) = unbounded_channel();
        let (bulk_frames, queued_bulk_frames) = unbounded_channel();
        let queued = Rc::new(QueuedBytes { total: Cell::new(0), bulk: Cell::new(0), pacer });
        let queue = SendQueue {
            messages: queued_messages,
            bulk_frames: queued_bulk_frames,
            next_bulk_frame: None,
            queued: queued.clone(),
        };
        (Self { messages, bulk_frames, queued }, queue)
    }

    /// Queues a message. Returns false if the connection has ended, or the queue is full because the peer does not read. The caller should
    /// then drop the writer, which closes the connection.
    pub fn send<M: Writable<LittleEndian>>(&self, message: &M) -> bool {
        self.send_frame(Rc::new(frame::encode(message)))
    }

    /// Queues an encoded message. Returns false in the same cases as [`Self::send`].
    pub fn send_frame(&self, frame: Rc<Vec<u8>>) -> bool {
        self.reserve(frame.len()) && self.messages.send(frame).is_ok()
    }

    /// Queues the fragments of a large message, in order and behind all bulk queued before. Returns false in the same cases as
    /// [`Self::send`].
    pub fn send_bulk(&self, fragments: &[Rc<Vec<u8>>]) -> bool {
        let length = fragments.iter().map(|fragment| fragment.len()).sum();
        if !self.reserve(length) {
            return false;
        }
        self.queued.add_bulk(length);
        fragments.iter().all(|fragment| self.bulk_frames.send(fragment.clone()).is_ok())
    }

    /// Counts `length` bytes as queued. Returns false, and counts nothing, if the queue would exceed [`MAX_QUEUED_BYTES`].
    fn reserve(&self, length: usize) -> bool {
        let total = self.queued.total.get() + length;
        let fits = total <= MAX_QUEUED_BYTES;
        if fits {
            self.queued.total.set(total);
        }
        fits
    }
}

/// The receiving end of a connection's queue.
pub struct SendQueue {
    messages: UnboundedReceiver<Rc<Vec<u8>>>,
    bulk_frames: UnboundedReceiver<Rc<Vec<u8>>>,
    /// The bulk frame that is written next, and the time from which it may be written.
    next_bulk_frame: Option<(Rc<Vec<u8>>, Instant)>,
    queued: Rc<QueuedBytes>,
}

impl SendQueue {
    /// Writes the queue's content to `stream`. Returns once all writers are dropped.
    ///
    /// # Errors
    /// If a write fails, or blocks for longer than `WRITE_TIMEOUT`.
    pub async fn write_to(&mut self, stream: &mut (impl AsyncWrite + Unpin)) -> std::io::Result<()> {
        let mut batch = Vec::new();
        let mut limiter = BulkRateLimiter::default();
        loop {
            let next_bulk_frame = &mut self.next_bulk_frame;
            let bulk_frame_is_due = async {
                if next_bulk_frame.is_none() {
                    sleep_until(limiter.next_at).await;
                    let frame = self.bulk_frames.recv().await?;
                    let begins_at = self.queued.pacer.reserve(frame.len());
                    *next_bulk_frame = Some((frame, begins_at));
                }
                let (_, begins_at) = next_bulk_frame.as_ref()?;
                sleep_until(*begins_at).await;
                Some(())
            };
            tokio::select! {
                biased;
                message = self.messages.recv() => match message {
                    Some(message) => self.write_batch(&message, &mut batch, stream).await?,
                    None => return Ok(()),
                },
                Some(()) = bulk_frame_is_due => {
                    let Some((frame, _)) = self.next_bulk_frame.take() else { continue };
                    limiter.spend(frame.len(), self.bulk_bytes_per_second());
                    self.queued.remove_bulk(frame.len());
                    write_chunks(stream, &frame).await?;
                    self.release(frame.len());
                }
            }
        }
    }

    /// Writes a message together with the messages queued behind it, up to [`MAX_BATCH_BYTES`].
    async fn write_batch(
        &mut self,
        first: &[u8],
        batch: &mut Vec<u8>,
        stream: &mut (impl AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        batch.clear();
        batch.extend_from_slice(first);
        while batch.len() < MAX_BATCH_BYTES
            && let Ok(next) = self.messages.try_recv()
        {
            batch.extend_from_slice(&next);
        }
        self.release(batch.len());
        write_chunks(stream, batch).await
    }

    /// Counts bytes as no longer queued.
    fn release(&self, length: usize) {
        self.queued.total.set(self.queued.total.get().saturating_sub(length));
    }

    fn bulk_bytes_per_second(&self) -> f64 {
        BULK_BYTES_PER_SECOND.max(self.queued.bulk.get() as f64 / BULK_DRAIN_TARGET.as_secs_f64())
    }
}

/// Limits the rate of bulk on one connection. After a pause, a burst of [`BULK_BURST`] is allowed.
struct BulkRateLimiter {
    next_at: Instant,
}

impl Default for BulkRateLimiter {
    fn default() -> Self {
        Self { next_at: Instant::now() }
    }
}

impl BulkRateLimiter {
    fn spend(&mut self, length: usize, bytes_per_second: f64) {
        let now = Instant::now();
        let earliest = now.checked_sub(BULK_BURST).unwrap_or(now);
        self.next_at = self.next_at.max(earliest) + Duration::from_secs_f64(length as f64 / bytes_per_second);
    }
}

async fn write_chunks(stream: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> std::io::Result<()> {
    for chunk in bytes.chunks(MAX_BATCH_BYTES) {
        timeout(WRITE_TIMEOUT, stream.write_all(chunk)).await??;
    }
    Ok(())
}
