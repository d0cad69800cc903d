//! A scripted backend server, and a listener whose accept backlog is full.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use super::TEST_TIMEOUT;
use super::message::{Message, read_message};

/// A backend's reply to one request.
#[derive(Clone)]
pub enum BackendReply {
    /// Writes these bytes and keeps the connection open.
    Write(String),
    /// Writes these bytes and shuts down the backend's side of the connection.
    WriteThenClose(String),
    /// Writes a response and further bytes in a single write.
    WriteWithTrailingBytes(String, String),
    /// Writes the first bytes at once, and the last ones after the gate has opened.
    WriteThenWriteAtGate(String, Arc<Gate>, String),
    /// Writes nothing and keeps the connection open.
    Never,
    /// Writes these bytes after the gate has opened.
    WriteAtGate(Arc<Gate>, String),
}

/// Formats a 200 response with this body.
pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Formats a response without a body. `headers` consists of complete header lines, each ending in CRLF.
pub fn status(code: u16, headers: &str) -> String {
    format!("HTTP/1.1 {code} X\r\n{headers}Content-Length: 0\r\n\r\n")
}

/// A latch that is opened once and stays open.
#[derive(Default)]
pub struct Gate {
    is_open: Mutex<bool>,
    changed: Condvar,
}

impl Gate {
    /// Releases all current and future waiters.
    ///
    /// # Panics
    /// If a waiter panicked with the lock held.
    pub fn open(&self) {
        *self.is_open.lock().expect("no waiter panics with the lock held") = true;
        self.changed.notify_all();
    }

    /// Blocks until the gate is open.
    ///
    /// # Panics
    /// If the gate stays closed for [`TEST_TIMEOUT`].
    pub fn wait(&self) {
        let is_open = self.is_open.lock().expect("no waiter panics with the lock held");
        let waited = self.changed.wait_timeout_while(is_open, TEST_TIMEOUT, |is_open| !*is_open);
        let (_guard, result) = waited.expect("no waiter panics with the lock held");
        assert!(!result.timed_out(), "the gate was not opened within {TEST_TIMEOUT:?}");
    }
}

/// A backend server whose replies a test determines and whose requests the test receives.
pub struct Backend {
    /// Address on which the backend listens.
    pub address: SocketAddr,
    /// Requests received, in the order of their arrival.
    pub requests: Receiver<Message>,
    /// Number of connections accepted so far.
    pub connections: Arc<AtomicU32>,
    /// Number of connections that the backend shut down first and the peer has then closed.
    pub closed: Arc<AtomicU32>,
}

impl Backend {
    /// Starts a backend on a free port. `reply` returns the reply to each request.
    ///
    /// # Panics
    /// If the operating system has no free port.
    pub fn new(reply: impl Fn(&Message) -> BackendReply + Send + Sync + 'static) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("loopback has a free port"), reply)
    }

    /// Starts a backend on an existing listener; see [`Backend::new`].
    ///
    /// # Panics
    /// If the listener has no local address.
    pub fn on(
        listener: TcpListener,
        reply: impl Fn(&Message) -> BackendReply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("a bound listener has an address");
        let (sender, requests) = channel();
        let connections = Arc::new(AtomicU32::new(0));
        let closed = Arc::new(AtomicU32::new(0));
        let (reply, accepted, closed_by_peer) = (Arc::new(reply), connections.clone(), closed.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                let (reply, sender, closed) = (reply.clone(), sender.clone(), closed_by_peer.clone());
                thread::spawn(move || serve_connection(stream, &*reply, &sender, &closed));
            }
        });
        Self { address, requests, connections, closed }
    }

    /// Receives the next request.
    ///
    /// # Panics
    /// If no request arrives within [`TEST_TIMEOUT`].
    pub fn next_request(&self) -> Message {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request reaches the backend in time")
    }

    /// Removes all requests that have arrived from the queue, and returns their number.
    pub fn drain_requests(&self) -> usize {
        self.requests.try_iter().count()
    }
}

fn serve_connection(
    stream: TcpStream,
    reply: &dyn Fn(&Message) -> BackendReply,
    requests: &Sender<Message>,
    closed_by_peer: &AtomicU32,
) {
    let mut writer = stream.try_clone().expect("the process has a free descriptor");
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        let next = reply(&message);
        if requests.send(message).is_err() {
            return;
        }
        let written = match next {
            BackendReply::Write(text) => writer.write_all(text.as_bytes()),
            BackendReply::WriteAtGate(gate, text) => {
                gate.wait();
                writer.write_all(text.as_bytes())
            }
            BackendReply::WriteThenClose(text) => {
                let _ = writer.write_all(text.as_bytes());
                let _ = writer.shutdown(Shutdown::Write);
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                closed_by_peer.fetch_add(1, Ordering::SeqCst);
                return;
            }
            BackendReply::WriteWithTrailingBytes(text, more) => writer.write_all((text + &more).as_bytes()),
            BackendReply::WriteThenWriteAtGate(first, gate, text) => {
                let written = writer.write_all(first.as_bytes());
                gate.wait();
                written.and_then(|()| writer.write_all(text.as_bytes()))
            }
            BackendReply::Never => Ok(()),
        };
        if written.is_err() {
            return;
        }
    }
}

/// Timeout of a connection that fills the backlog: less than the second after which the kernel retransmits a SYN.
const FILL_TIMEOUT: Duration = Duration::from_millis(300);

/// A listener whose accept backlog is full: new connections complete only some time after [`FullBacklogListener::open`].
pub struct FullBacklogListener {
    listener: TcpListener,
    /// The connections that fill the accept backlog.
    filling: Vec<TcpStream>,
}

impl FullBacklogListener {
    /// Binds a listener on a free port and fills its backlog.
    ///
    /// # Panics
    /// If the operating system provides no socket.
    pub fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .build()
            .expect("the operating system provides an event queue");
        let _context = runtime.enter();
        let socket = tokio::net::TcpSocket::new_v4().expect("the process has a free descriptor");
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("loopback has a free port");
        let listener =
            socket.listen(1).and_then(tokio::net::TcpListener::into_std).expect("a bound socket listens");
        listener.set_nonblocking(false).expect("a listener can block");
        let address = listener.local_addr().expect("a bound listener has an address");
        // A connection that fits into the backlog completes at once; the SYN of any other one is dropped and retransmitted later.
        let filling =
            std::iter::from_fn(|| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok()).collect();
        Self { listener, filling }
    }

    /// Address on which the listener is bound.
    ///
    /// # Panics
    /// Never: the listener is bound.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("a bound listener has an address")
    }

    /// Number of connections that fill the backlog.
    pub fn filling(&self) -> usize {
        self.filling.len()
    }

    /// Closes the connections that fill the backlog, and serves the listener as a [`Backend`] from now on.
    pub fn open(self, reply: impl Fn(&Message) -> BackendReply + Send + Sync + 'static) -> Backend {
        drop(self.filling);
        Backend::on(self.listener, reply)
    }
}

impl Default for FullBacklogListener {
    fn default() -> Self {
        Self::new()
    }
}
