//! Links between the processes of the system: frames over TCP, one direction a connection. A link that is not up loses what is said
//! on it; whoever is behind asks anew. Queues are bounded: a peer that does not read has its link closed. What is large goes in
//! fragments, behind all that is small.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::frame::{self, Decoder, FrameError};
use speedy::{LittleEndian, Readable, Writable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};

/// A connection that is not up by then is tried anew: behind a cut, or before its machine is up, nothing answers. Short first, so
/// that those who start together find each other; longer each time, up to three times, where the way is long.
const CONNECT: Duration = Duration::from_millis(250);
const LONGER: u32 = 3;
/// A write that was not taken for so long ends the connection.
const WRITE: Duration = Duration::from_millis(1500);
/// Unanswered bytes end a connection after this, also where nothing more is written.
const UNANSWERED: Duration = Duration::from_millis(2500);
/// Bytes that wait to be written; over this the peer does not read.
const WAITING: usize = 32 << 20;
/// Small messages are written together up to here.
const BATCH: usize = 64 * 1024;
/// Bulk is written at this rate, in bytes a second: half of a link of 10 Mbit/s, so that requests have the rest ...
const BULK_RATE: f64 = 640.0 * 1024.0;
/// ... or faster, where what waits would take longer than this.
const BULK_WITHIN: Duration = Duration::from_millis(1000);
/// What the rate allows in this time goes at once after a rest.
const BULK_REST: Duration = Duration::from_millis(100);
/// Other tasks have their turn between the decoding of a message of this length and its use.
const LARGE: usize = 64 * 1024;
const BACKLOG: u32 = 1024;

/// A listening socket.
///
/// # Errors
/// Where the address can't be had.
pub fn listen(at: SocketAddrV4) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    // A restart must not wait for the last life's connections to leave the system's tables.
    socket.set_reuseaddr(true)?;
    socket.bind(at.into())?;
    socket.listen(BACKLOG)
}

/// Connects from this machine's own address: by it the other side knows who calls. `tries` counts those before.
///
/// # Errors
/// Where no connection comes about in time.
pub async fn connect(from: Ipv4Addr, to: SocketAddrV4, tries: u32) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddrV4::new(from, 0).into())?;
    let stream = timeout(CONNECT * 2_u32.pow(tries % LONGER), socket.connect(to.into())).await??;
    tune(&stream);
    Ok(stream)
}

/// Small messages go at once, and a peer that is gone shows. Wishes: a connection without them is only slower to tell.
pub fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNANSWERED));
}

/// The writing end of a link. Bulk is written behind everything else, and spread over time, so that nothing else waits for it.
#[derive(Clone)]
pub struct Writer {
    queue: UnboundedSender<Rc<Vec<u8>>>,
    bulk: UnboundedSender<Rc<Vec<u8>>>,
    waiting: Rc<Waiting>,
}

/// Bytes that wait to be written.
#[derive(Default)]
struct Waiting {
    all: Cell<usize>,
    bulk: Cell<usize>,
}

impl Writer {
    /// A writer, and what it is written from.
    pub fn new() -> (Self, Queue) {
        let (queue, messages) = unbounded_channel();
        let (bulk, bulk_frames) = unbounded_channel();
        let waiting = Rc::<Waiting>::default();
        let written_from = Queue { messages, bulk_frames, waiting: waiting.clone() };
        (Self { queue, bulk, waiting }, written_from)
    }

    /// Has a message written. False where the link is gone, or its peer does not read.
    pub fn send<M: Writable<LittleEndian>>(&self, message: &M) -> bool {
        self.send_encoded(Rc::new(frame::encode(message)))
    }

    /// The same for one that is encoded already.
    pub fn send_encoded(&self, bytes: Rc<Vec<u8>>) -> bool {
        self.count(bytes.len()) && self.queue.send(bytes).is_ok()
    }

    /// Has the fragments of a large message written as bulk, in this order and behind the bulk before them.
    pub fn send_bulk(&self, fragments: &[Rc<Vec<u8>>]) -> bool {
        let length = fragments.iter().map(|fragment| fragment.len()).sum();
        if !self.count(length) {
            return false;
        }
        self.waiting.bulk.set(self.waiting.bulk.get() + length);
        fragments.iter().all(|fragment| self.bulk.send(fragment.clone()).is_ok())
    }

    /// Counts bytes that are to wait. False where there are too many.
    fn count(&self, length: usize) -> bool {
        let waiting = self.waiting.all.get() + length;
        let fits = waiting <= WAITING;
        if fits {
            self.waiting.all.set(waiting);
        }
        fits
    }
}

/// What waits to be written.
pub struct Queue {
    messages: UnboundedReceiver<Rc<Vec<u8>>>,
    bulk_frames: UnboundedReceiver<Rc<Vec<u8>>>,
    waiting: Rc<Waiting>,
}

impl Queue {
    /// Writes until the connection or the writer ends.
    pub async fn write_to(
        &mut self,
        stream: &mut (impl tokio::io::AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        let mut batch = Vec::new();
        let mut pace = Pace::default();
        loop {
            let bulk = async {
                sleep_until(pace.next).await;
                self.bulk_frames.recv().await
            };
            tokio::select! {
                biased;
                message = self.messages.recv() => match message {
                    Some(message) => self.write_batch(&message, &mut batch, stream).await?,
                    None => return Ok(()),
                },
                Some(frame) = bulk => {
                    pace.spend(frame.len(), self.bulk_rate());
                    self.waiting.bulk.set(self.waiting.bulk.get().saturating_sub(frame.len()));
                    write(stream, &frame).await?;
                    self.written(frame.len());
                }
            }
        }
    }

    /// Writes a message, with those that wait behind it.
    async fn write_batch(
        &mut self,
        first: &[u8],
        batch: &mut Vec<u8>,
        stream: &mut (impl tokio::io::AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        batch.clear();
        batch.extend_from_slice(first);
        while batch.len() < BATCH
            && let Ok(more) = self.messages.try_recv()
        {
            batch.extend_from_slice(&more);
        }
        self.written(batch.len());
        write(stream, batch).await
    }

    fn written(&self, length: usize) {
        self.waiting.all.set(self.waiting.all.get().saturating_sub(length));
    }

    /// Bytes of bulk that are written in a second.
    fn bulk_rate(&self) -> f64 {
        BULK_RATE.max(self.waiting.bulk.get() as f64 / BULK_WITHIN.as_secs_f64())
    }
}

/// When bulk may be written next. After a rest of [`BULK_REST`] some of it goes at once.
struct Pace {
    next: Instant,
}

impl Default for Pace {
    fn default() -> Self {
        Self { next: Instant::now() }
    }
}

impl Pace {
    fn spend(&mut self, length: usize, rate: f64) {
        let now = Instant::now();
        let earliest = now.checked_sub(BULK_REST).unwrap_or(now);
        self.next = self.next.max(earliest) + Duration::from_secs_f64(length as f64 / rate);
    }
}

async fn write(stream: &mut (impl tokio::io::AsyncWrite + Unpin), bytes: &[u8]) -> std::io::Result<()> {
    for piece in bytes.chunks(BATCH) {
        timeout(WRITE, stream.write_all(piece)).await??;
    }
    Ok(())
}

/// Why a link has ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The connection.
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    /// What came on it.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
}

/// What a link brings.
pub enum Received<M> {
    /// A message.
    Message(M),
    /// A part of a large message.
    Fragment,
}

/// Reads messages until the connection ends, or says nothing for so long.
///
/// # Errors
/// Always: the reason for which it ended.
pub async fn read<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut (impl tokio::io::AsyncRead + Unpin),
    silent: Duration,
    mut take: impl FnMut(M),
) -> Result<(), LinkError> {
    let take = |received| match received {
        Received::Message(message) => take(message),
        Received::Fragment => {}
    };
    read_fragments(stream, silent, take).await
}

/// The same; tells also of parts of large messages as they come.
///
/// # Errors
/// Always: the reason for which it ended.
pub async fn read_fragments<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut (impl tokio::io::AsyncRead + Unpin),
    silent: Duration,
    mut take: impl FnMut(Received<M>),
) -> Result<(), LinkError> {
    let mut decoder = Decoder::default();
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = timeout(silent, stream.read(&mut buffer)).await.map_err(|_| LinkError::Silent)??;
        if read == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        decoder.feed(&buffer[..read]);
        let fragments_before = decoder.fragments_received();
        while let Some(message) = decoder.next_message()? {
            if decoder.last_message_bytes() >= LARGE {
                // Decoding it took its time, and so does what comes of it.
                yield_now().await;
            }
            take(Received::Message(message));
        }
        if decoder.fragments_received() > fragments_before {
            take(Received::Fragment);
        }
    }
}
