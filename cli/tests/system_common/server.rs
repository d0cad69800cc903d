//! A server that responds to each request as the script of a test says.

use std::io::{BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

pub use ivyhatch_socket_lab::scripted::Gate;
use ivyhatch_socket_lab::scripted::{Message, read_message};
use serde_json::{Value, json};

use super::WAIT_TIMEOUT;

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub message: Message,
    /// Number of earlier requests to this server.
    pub earlier_requests: usize,
    /// Number of earlier requests on the same connection.
    pub earlier_on_connection: usize,
}

impl ReceivedRequest {
    /// The request id; empty if the request has none.
    pub fn id(&self) -> &str {
        self.message.value("ivyhatch-attempt-id").unwrap_or("")
    }
}

/// A step of a script, by which a server responds to a request.
#[derive(Clone)]
pub enum Step {
    /// Writes bytes to the connection.
    Write(Vec<u8>),
    /// Waits until a test opens the gate.
    Wait(Arc<Gate>),
    /// Waits until the router closes the connection, and notifies the test.
    AwaitClose(Sender<()>),
    /// Closes the connection.
    Close,
    /// Closes the connection with a TCP reset.
    Reset,
}

/// A scripted server, and the requests that it has received.
pub struct Server {
    pub address: SocketAddr,
    pub id: String,
    service: String,
    zone: String,
    received: Receiver<ReceivedRequest>,
}

impl Server {
    /// Starts a server on a free port. It performs the steps that `script` returns for each request.
    pub fn new(
        ip: Ipv4Addr,
        (id, service, zone): (&str, &str, &str),
        script: impl Fn(&ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = channel();
        let (script, count) = (Arc::new(script), Arc::new(Mutex::new(0)));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (script, count, sender) = (script.clone(), count.clone(), sender.clone());
                thread::spawn(move || serve_connection(stream, &*script, &count, &sender));
            }
        });
        Self { address, id: id.to_owned(), service: service.to_owned(), zone: zone.to_owned(), received }
    }

    /// The server's entry in the platform's instance list.
    pub fn instance_entry(&self) -> Value {
        json!({"service": self.service, "address": self.address.to_string(), "zone": self.zone, "revision": "v1", "slots": 8,
            "state": "ready", "cold_left_ms": 0, "id": self.id})
    }

    /// Takes the next request; waits for it at most [`WAIT_TIMEOUT`].
    pub fn next_request(&self) -> ReceivedRequest {
        self.received.recv_timeout(WAIT_TIMEOUT).expect("a request reaches the server within WAIT_TIMEOUT")
    }

    /// Takes all requests that the test has not taken yet.
    pub fn take_requests(&self) -> Vec<ReceivedRequest> {
        self.received.try_iter().collect()
    }

    /// Takes all requests that the test has not taken yet, and returns their number.
    pub fn take_request_count(&self) -> usize {
        self.take_requests().len()
    }
}

fn serve_connection(
    stream: TcpStream,
    script: &dyn Fn(&ReceivedRequest) -> Vec<Step>,
    count: &Mutex<usize>,
    sender: &Sender<ReceivedRequest>,
) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let messages = std::iter::from_fn(|| read_message(&mut reader));
    for (earlier_on_connection, message) in messages.enumerate() {
        let earlier_requests = {
            let mut count = count.lock().unwrap();
            *count += 1;
            *count - 1
        };
        let received = ReceivedRequest { message, earlier_requests, earlier_on_connection };
        let steps = script(&received);
        if sender.send(received).is_err() {
            return;
        }
        for step in steps {
            match step {
                Step::Write(bytes) => {
                    if writer.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Step::Wait(gate) => gate.wait(),
                Step::AwaitClose(closed) => {
                    let _ = writer.read(&mut [0]);
                    let _ = closed.send(());
                    return;
                }
                Step::Close => {
                    let _ = writer.shutdown(Shutdown::Both);
                    return;
                }
                Step::Reset => {
                    ivyhatch_socket_lab::scripted::Client::from_stream(writer).reset();
                    return;
                }
            }
        }
    }
}

/// The server's stamp. A router forwards a successful response only if it has one.
pub const STAMP_HEADER: &str = "Ivyhatch-Server-Stamp: st.1\r\n";

/// The bytes of a complete response; `headers` are complete lines.
pub fn complete_response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The header line with this request id.
pub fn id_header(id: &str) -> String {
    format!("Ivyhatch-Attempt-Id: {id}\r\n")
}

/// A copy of a request with another request id.
pub fn with_request_id(message: &Message, id: &str) -> Message {
    let mut message = message.clone();
    let named =
        message.headers.iter_mut().filter(|header| header.name.eq_ignore_ascii_case("ivyhatch-attempt-id"));
    named.for_each(|header| id.clone_into(&mut header.value));
    message
}

/// A successful response with the request's id and a stamp.
pub fn ok_response(received: &ReceivedRequest, body: &[u8]) -> Vec<Step> {
    vec![Step::Write(complete_response(200, &format!("{}{STAMP_HEADER}", id_header(received.id())), body))]
}

/// A rejection by an overloaded server, which states that the request was not executed.
pub fn overloaded_response() -> Vec<Step> {
    vec![Step::Write(complete_response(503, "Ivyhatch-Not-Executed: 1\r\n", b"full"))]
}

/// Writes the head of an event stream in chunks.
pub fn stream_head(received: &ReceivedRequest) -> Step {
    let id = id_header(received.id());
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{id}{STAMP_HEADER}\r\n"
    );
    Step::Write(text.into_bytes())
}

/// Text of a server-sent event with this id.
pub fn sse_event(number: u64) -> String {
    format!("id: {number}\ndata: word {number}\n\n")
}

/// Writes one chunk of a stream.
pub fn chunk(text: &str) -> Step {
    Step::Write(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes())
}

/// Writes the empty chunk that ends a stream.
pub fn last_chunk() -> Step {
    Step::Write(b"0\r\n\r\n".to_vec())
}

/// Writes a complete stream of the events with these ids.
pub fn complete_stream(received: &ReceivedRequest, events: std::ops::RangeInclusive<u64>) -> Vec<Step> {
    let events = events.map(|number| chunk(&sse_event(number)));
    std::iter::once(stream_head(received)).chain(events).chain([last_chunk()]).collect()
}

impl super::TestCluster {
    /// Starts two servers of service `s` in the router's zone. `script` gets the number of earlier requests to both servers together.
    pub fn start_server_pair(
        &self,
        script: impl Fn(usize, &ReceivedRequest) -> Vec<Step> + Send + Sync + 'static,
    ) -> [Server; 2] {
        let (script, request_count) = (Arc::new(script), Arc::new(Mutex::new(0)));
        ["i-1", "i-2"].map(|id| {
            let (script, request_count) = (script.clone(), request_count.clone());
            self.start_server((id, "s", "za"), move |received| {
                let earlier_requests = {
                    let mut count = request_count.lock().unwrap();
                    *count += 1;
                    *count - 1
                };
                script(earlier_requests, received)
            })
        })
    }
}
