//! A server that does what a test's script says, step by step, with each request.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

pub use ivyhatch_socket_lab::scripted::Gate;
use ivyhatch_socket_lab::scripted::{Message, read_message};
use serde_json::{Value, json};

use super::PATIENCE;

/// A request as a server has read it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub message: Message,
    /// How many came to this server before it.
    pub number: usize,
    /// How many came on its connection before it.
    pub on_connection: usize,
}

impl Asked {
    pub fn id(&self) -> &str {
        self.message.value("ivyhatch-attempt-id").unwrap_or("")
    }
}

/// What a server does next.
#[derive(Clone)]
pub enum Step {
    Writes(Vec<u8>),
    Waits(Arc<Gate>),
    /// Ends the connection.
    Closes,
    /// Ends it with a reset.
    Resets,
}

/// A server, and what it has got.
pub struct Server {
    pub at: SocketAddr,
    pub id: String,
    service: String,
    zone: String,
    got: Receiver<Asked>,
}

impl Server {
    pub fn new(
        ip: Ipv4Addr,
        (id, service, zone): (&str, &str, &str),
        does: impl Fn(&Asked) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let at = listener.local_addr().unwrap();
        let (sender, got) = channel();
        let (does, count) = (Arc::new(does), Arc::new(Mutex::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (does, count, sender) = (does.clone(), count.clone(), sender.clone());
                thread::spawn(move || attend(stream, &*does, &count, &sender));
            }
        });
        Self { at, id: id.to_owned(), service: service.to_owned(), zone: zone.to_owned(), got }
    }

    /// Its line in the platform's list.
    pub fn listed(&self) -> Value {
        json!({"service": self.service, "address": self.at.to_string(), "zone": self.zone, "revision": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "id": self.id})
    }

    /// The next request.
    pub fn next(&self) -> Asked {
        self.got.recv_timeout(PATIENCE).expect("a request reaches the server")
    }

    /// Requests that have come and were not received yet.
    pub fn all(&self) -> Vec<Asked> {
        self.got.try_iter().collect()
    }

    /// How many have come; they are received by this.
    pub fn count(&self) -> usize {
        self.all().len()
    }
}

fn attend(
    stream: TcpStream,
    does: &dyn Fn(&Asked) -> Vec<Step>,
    count: &Mutex<usize>,
    sender: &Sender<Asked>,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let messages = std::iter::from_fn(|| read_message(&mut reader));
    for (on_connection, message) in messages.enumerate() {
        let number = {
            let mut count = count.lock().unwrap();
            *count += 1;
            *count - 1
        };
        let asked = Asked { message, number, on_connection };
        let steps = does(&asked);
        if sender.send(asked).is_err() {
            return;
        }
        for step in steps {
            match step {
                Step::Writes(bytes) => {
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Step::Waits(gate) => gate.wait(),
                Step::Closes => {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
                Step::Resets => {
                    ivyhatch_socket_lab::scripted::Client::from_stream(writer).reset();
                    return;
                }
            }
        }
    }
}

pub const STAMP: &str = "Ivyhatch-Server-Stamp: st.1\r\n";

/// The bytes of a whole answer; `headers` are whole lines.
pub fn whole(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The header with this id.
pub fn id(id: &str) -> String {
    format!("Ivyhatch-Attempt-Id: {id}\r\n")
}

/// A request under another id.
pub fn renamed(message: &Message, id: &str) -> Message {
    let mut message = message.clone();
    let named =
        message.headers.iter_mut().filter(|header| header.name.eq_ignore_ascii_case("ivyhatch-attempt-id"));
    named.for_each(|header| id.clone_into(&mut header.value));
    message
}

/// A sound answer to a request.
pub fn ok(asked: &Asked, body: &[u8]) -> Vec<Step> {
    vec![Step::Writes(whole(200, &format!("{}{STAMP}", id(asked.id())), body))]
}

/// A server that is full.
pub fn sheds() -> Vec<Step> {
    vec![Step::Writes(whole(503, "Ivyhatch-Not-Executed: 1\r\n", b"full"))]
}

/// The head of a stream.
pub fn stream_head(asked: &Asked) -> Step {
    let id = id(asked.id());
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{id}{STAMP}\r\n"
    );
    Step::Writes(text.into_bytes())
}

/// An event's text.
pub fn event(number: u64) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

/// A piece of a stream.
pub fn chunk(text: &str) -> Step {
    Step::Writes(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes())
}

/// The end of a stream.
pub fn last_chunk() -> Step {
    Step::Writes(b"0\r\n\r\n".to_vec())
}

/// A whole stream of these events.
pub fn stream(asked: &Asked, events: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    let events = events.map(|number| chunk(&event(number)));
    std::iter::once(stream_head(asked)).chain(events).chain([last_chunk()]).collect()
}

impl super::Site {
    /// Two servers of service `s` in the router's zone. `does` gets the number of earlier requests to either of them.
    pub fn pair(&self, does: impl Fn(usize, &Asked) -> Vec<Step> + Send + Sync + 'static) -> [Server; 2] {
        let (does, turn) = (Arc::new(does), Arc::new(Mutex::new(0)));
        ["i-1", "i-2"].map(|id| {
            let (does, turn) = (does.clone(), turn.clone());
            self.server((id, "s", "za"), move |asked| {
                let turn = {
                    let mut turn = turn.lock().unwrap();
                    *turn += 1;
                    *turn - 1
                };
                does(turn, asked)
            })
        })
    }
}
