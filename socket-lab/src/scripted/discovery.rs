//! A scripted discovery service: one endpoint list, and the long polls (watches) that wait for its changes.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::backend::ok;
use super::message::{Message, read_message};
use super::wait_until;

/// Delay between two bytes of a response that is written byte by byte.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// A discovery service whose list and faults are set by the test.
#[derive(Clone)]
pub struct Discovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    published: Arc<(Mutex<PublishedList>, Condvar)>,
    /// Request lines of all watches so far, both answered and pending.
    pub watch_requests: Arc<Mutex<Vec<String>>>,
    faults: Arc<ConnectionFaults>,
}

/// The list that is sent in response to watches.
struct PublishedList {
    revision: u64,
    /// The body of the response, valid or not.
    text: String,
}

/// Faults of the service's connections.
#[derive(Default)]
struct ConnectionFaults {
    /// Number of connections accepted so far.
    connections: AtomicU32,
    /// The service sends nothing on connections with a number up to this one; the first connection is number 1.
    silent_up_to: AtomicU32,
    /// Whether responses are written byte by byte.
    trickles: AtomicBool,
}

/// The number after `key` in a request line, where `key` includes the equals sign. `None` if there is no such number.
fn query_number(request_line: &str, key: &str) -> Option<u64> {
    let value = request_line.split(key).nth(1)?;
    value.split(['&', ' ']).next()?.parse().ok()
}

impl Discovery {
    /// Starts a service on a free port with the first revision of a list.
    ///
    /// # Panics
    /// If the operating system has no free port.
    pub fn new(targets: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let first = PublishedList { revision: 1, text: full_list(1, &targets) };
        let discovery = Self {
            address: listener.local_addr().expect("a bound listener has an address"),
            published: Arc::new((Mutex::new(first), Condvar::new())),
            watch_requests: Arc::default(),
            faults: Arc::default(),
        };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                let number = service.faults.connections.fetch_add(1, Ordering::SeqCst) + 1;
                thread::spawn(move || service.serve_connection(stream, number));
            }
        });
        discovery
    }

    /// From now on, sends nothing on the connections accepted so far and on the next `more` ones, but keeps them open.
    pub fn fall_silent(&self, more: u32) {
        let up_to = self.faults.connections.load(Ordering::SeqCst) + more;
        self.faults.silent_up_to.store(up_to, Ordering::SeqCst);
    }

    /// Sets whether responses are written byte by byte, 100 ms apart.
    pub fn trickle(&self, trickles: bool) {
        self.faults.trickles.store(trickles, Ordering::SeqCst);
    }

    fn write_response(&self, writer: &mut TcpStream, body: &str) -> std::io::Result<()> {
        let response = ok(body);
        if !self.faults.trickles.load(Ordering::SeqCst) {
            return writer.write_all(response.as_bytes());
        }
        response.as_bytes().iter().try_for_each(|byte| {
            thread::sleep(TRICKLE_INTERVAL);
            writer.write_all(&[*byte])
        })
    }

    fn serve_connection(&self, stream: TcpStream, number: u32) {
        let mut writer = stream.try_clone().expect("the process has a free descriptor");
        let mut reader = BufReader::new(stream);
        while let Some(message) = read_message(&mut reader) {
            let body = self.await_change(&message);
            if self.faults.silent_up_to.load(Ordering::SeqCst) >= number {
                // Reads and drops all bytes until the peer closes the connection.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            }
            if self.write_response(&mut writer, &body).is_err() {
                return;
            }
        }
    }

    /// Waits for a change of the list or the end of the watch's hold time, and returns the body of the response.
    fn await_change(&self, message: &Message) -> String {
        let request_line = message.start_line.clone();
        let known_revision = query_number(&request_line, "from=");
        let hold = Duration::from_millis(query_number(&request_line, "hold_ms=").unwrap_or(0));
        self.watch_requests.lock().expect("no watch panics with the lock held").push(request_line);
        let unchanged = |list: &mut PublishedList| Some(list.revision) == known_revision;
        let waited = self.published.1.wait_timeout_while(self.lock_list(), hold, unchanged);
        let (list, _) = waited.expect("no watch panics with the lock held");
        if Some(list.revision) == known_revision {
            format!(r#"{{"rev":{},"all":false,"targets":[]}}"#, list.revision)
        } else {
            list.text.clone()
        }
    }

    fn lock_list(&self) -> MutexGuard<'_, PublishedList> {
        self.published.0.lock().expect("no watch panics with the lock held")
    }

    /// Publishes a new list under the next revision; pending watches get the full list.
    pub fn set(&self, targets: Value) {
        let revision = self.revision() + 1;
        self.set_text(revision, full_list(revision, &targets));
    }

    /// Publishes a body, valid or not, under a revision; pending watches get this body.
    pub fn set_text(&self, revision: u64, text: String) {
        *self.lock_list() = PublishedList { revision, text };
        self.published.1.notify_all();
    }

    /// Waits until a watch from this revision arrives, which shows that the client has applied this revision's list.
    ///
    /// # Panics
    /// If no such watch arrives within [`super::TEST_TIMEOUT`].
    pub fn wait_for_watch_from(&self, revision: u64) {
        let query = format!("from={revision}&");
        wait_until("a watch from the given revision arrives", || {
            let requests = self.watch_requests.lock().expect("no watch panics with the lock held");
            requests.iter().any(|request| request.contains(&query))
        });
    }

    /// The current revision of the list.
    pub fn revision(&self) -> u64 {
        self.lock_list().revision
    }
}

fn full_list(revision: u64, targets: &Value) -> String {
    json!({"rev": revision, "all": true, "targets": targets}).to_string()
}
