//! The send queue of a connection: small messages first, fragments of large ones (bulk) behind them at a limited rate.
//!
//! [`Writer`] is the queue's sending end and is held by the part that addresses the peer; [`SendQueue`] is owned by the connection's task,
//! which drains it with [`SendQueue::write_to`]. Both count the queued bytes in one shared `QueuedBytes`. Dropping all writers ends
//! the task's loop; dropping the queue makes each further send return false.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::frame;
use speedy::{LittleEndian, Writable};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, sleep_until, timeout};

/// A write that the peer does not accept within this ends the connection.
const WRITE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes queued at most; over this the peer does not read.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// Small messages are written together up to this length.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Bulk is written at this rate: half of a link of 10 Mbit/s, so that requests have the rest ...
const BULK_BYTES_PER_SECOND: f64 = 640.0 * 1024.0;
/// ... or faster, where the queued bulk would take longer than this.
const BULK_DRAIN_TARGET: Duration = Duration::from_millis(1000);
/// After a pause, what the rate allows in this time is written at once.
const BULK_BURST: Duration = Duration::from_millis(100);

/// The rate of bulk over all connections that share it: half of the machine's link, or as much as drains all of it within a second.
/// Without it, a configuration that goes to many connections at once fills the link, and whatever else the machine does waits behind
/// it.
pub struct BulkPacer {
    bytes_per_second: f64,
    queued: Cell<usize>,
    next_at: Cell<Instant>,
}

impl BulkPacer {
    /// The pacer of a machine with a link of this rate, in bytes a second; without a known rate bulk is limited by connection only.
    pub fn new(link_bytes_per_second: Option<f64>) -> Self {
        let bytes_per_second = link_bytes_per_second.map_or(f64::INFINITY, |rate| rate / 2.0);
        Self { bytes_per_second, queued: Cell::new(0), next_at: Cell::new(Instant::now()) }
    }

    /// Reserves the time in which some bytes are written. Returns when it begins.
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

/// Bytes in the queue.
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
    /// Both ends of an empty queue, whose bulk shares the pacer's rate with that of other connections.
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

    /// Queues a message. False where the connection has ended or its peer does not read.
    pub fn send<M: Writable<LittleEndian>>(&self, message: &M) -> bool {
        self.send_frame(Rc::new(frame::encode(message)))
    }

    /// Queues an encoded message. False as for [`Self::send`].
    pub fn send_frame(&self, frame: Rc<Vec<u8>>) -> bool {
        self.reserve(frame.len()) && self.messages.send(frame).is_ok()
    }

    /// Queues the fragments of a large message, in order and behind all bulk before them. False as for [`Self::send`].
    pub fn send_bulk(&self, fragments: &[Rc<Vec<u8>>]) -> bool {
        let length = fragments.iter().map(|fragment| fragment.len()).sum();
        if !self.reserve(length) {
            return false;
        }
        self.queued.add_bulk(length);
        fragments.iter().all(|fragment| self.bulk_frames.send(fragment.clone()).is_ok())
    }

    /// Counts bytes as queued. False where they exceed the bound.
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
    /// The bulk frame that is written next, and when.
    next_bulk_frame: Option<(Rc<Vec<u8>>, Instant)>,
    queued: Rc<QueuedBytes>,
}

impl SendQueue {
    /// Writes until all writers are dropped.
    ///
    /// # Errors
    /// Where the connection breaks, or takes no bytes for too long.
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

    /// Writes a message, together with those that are queued behind it.
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

/// When bulk may be written next. After a pause a burst of [`BULK_BURST`] is allowed.
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
