//! Links between the processes of the system: frames over TCP, one direction a connection. A link that is not up loses what is said
//! on it; whoever is behind asks anew. Queues are bounded: a peer that does not read has its link closed.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use ivyhatch_protocol::frame::{self, Decoder, FrameError};
use speedy::{LittleEndian, Readable, Writable};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::timeout;

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

/// The writing end of a link.
#[derive(Clone)]
pub struct Writer {
    queue: UnboundedSender<Rc<Vec<u8>>>,
    waiting: Rc<Cell<usize>>,
}

impl Writer {
    /// A writer, and what it is written from.
    pub fn new() -> (Self, Queue) {
        let (queue, bytes) = unbounded_channel();
        let waiting = Rc::new(Cell::new(0));
        (Self { queue, waiting: waiting.clone() }, Queue { bytes, waiting })
    }

    /// Has a message written. False where the link is gone, or its peer does not read.
    pub fn send<M: Writable<LittleEndian>>(&self, message: &M) -> bool {
        self.send_encoded(Rc::new(frame::encode(message)))
    }

    /// The same for one that is encoded already.
    pub fn send_encoded(&self, bytes: Rc<Vec<u8>>) -> bool {
        let waiting = self.waiting.get() + bytes.len();
        if waiting > WAITING {
            return false;
        }
        self.waiting.set(waiting);
        self.queue.send(bytes).is_ok()
    }
}

/// What waits to be written.
pub struct Queue {
    bytes: UnboundedReceiver<Rc<Vec<u8>>>,
    waiting: Rc<Cell<usize>>,
}

impl Queue {
    /// Writes until the connection or the writer ends.
    pub async fn write_to(
        &mut self,
        stream: &mut (impl tokio::io::AsyncWrite + Unpin),
    ) -> std::io::Result<()> {
        let mut batch = Vec::new();
        while let Some(first) = self.bytes.recv().await {
            batch.clear();
            batch.extend_from_slice(&first);
            while batch.len() < 64 * 1024
                && let Ok(more) = self.bytes.try_recv()
            {
                batch.extend_from_slice(&more);
            }
            self.waiting.set(self.waiting.get().saturating_sub(batch.len()));
            for piece in batch.chunks(64 * 1024) {
                timeout(WRITE, stream.write_all(piece)).await??;
            }
        }
        Ok(())
    }
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

/// Reads messages until the connection ends, or says nothing for so long.
///
/// # Errors
/// Always: the reason for which it ended.
pub async fn read<M: for<'a> Readable<'a, LittleEndian>>(
    stream: &mut (impl tokio::io::AsyncRead + Unpin),
    silent: Duration,
    mut take: impl FnMut(M),
) -> Result<(), LinkError> {
    let mut decoder = Decoder::default();
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let read = timeout(silent, stream.read(&mut buffer)).await.map_err(|_| LinkError::Silent)??;
        if read == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof).into());
        }
        decoder.feed(&buffer[..read]);
        while let Some(message) = decoder.message()? {
            take(message);
        }
    }
}
