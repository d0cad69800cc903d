//! Servers that inject one fault at one byte of an exchange, and a log of the requests that reached them. All servers of a test share the
//! planned faults: the next exchange at any of them takes the next fault.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Length of each request id in bytes. It is fixed so that all requests of a test have the same length.
pub const REQUEST_ID_LENGTH: usize = 8;
/// How long [`Fault::Delay`] delays the rest of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);

/// The message of an exchange in which a fault is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageKind {
    Request,
    Response,
}

/// A fault, injected after `offset` bytes of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The server closes the connection.
    Close,
    /// The server resets the connection.
    Reset,
    /// The server stops reading and writing, and keeps the connection open.
    Stall,
    /// The server reads or writes the rest after [`MESSAGE_DELAY`].
    Delay,
    /// A duplicate of the response is sent in two parts: the first `offset` bytes right after the response, the rest right before the next
    /// response on the connection.
    SplitDuplicate,
    /// A complete duplicate of the response is sent in two parts right before the next response on the connection.
    LateDuplicate,
    /// After `offset` bytes the response is sent again from its beginning.
    Restart,
}

/// A fault that is to be injected into one exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlannedFault {
    /// Whether the exchange has to follow an earlier one on its connection.
    pub reused_connection: bool,
    pub message: MessageKind,
    pub fault: Fault,
    /// Number of bytes of the message before the fault.
    pub offset: usize,
}

/// What the servers recorded of one request.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// How often the request arrived, completely or at least with its id.
    pub arrivals: usize,
    /// How often a server received the complete request and executed it.
    pub executions: usize,
    /// How often a server answered it with a rejection.
    pub rejections: usize,
    /// Faults that were injected into its exchanges.
    pub faults: Vec<PlannedFault>,
    /// Whether a duplicate of another response was sent before its response.
    pub after_duplicate: bool,
}

/// The requests that reached the servers, and the faults that are still to be injected.
#[derive(Default)]
pub struct RequestLog {
    /// Records by request id.
    pub requests: HashMap<String, RequestRecord>,
    /// Number of requests of which at least one byte arrived, with or without their ids.
    pub started_requests: usize,
    /// Number of rejections by all servers.
    pub rejections: usize,
    /// Ids of requests that arrived on a connection after surplus bytes had been sent on it.
    pub requests_after_surplus: Vec<String>,
    /// Ids of requests that were received after the server had closed its side of the connection.
    pub requests_after_close: Vec<String>,
    new_connection_faults: Vec<PlannedFault>,
    reused_connection_faults: Vec<PlannedFault>,
    /// Connections that are kept open and no longer read.
    stalled_connections: Vec<TcpStream>,
    last_exchange: Option<ExchangeLengths>,
}

impl RequestLog {
    /// Number of planned faults that have not been injected yet.
    pub fn remaining_faults(&self) -> usize {
        self.new_connection_faults.len() + self.reused_connection_faults.len()
    }

    fn needs_new_connections(&self) -> bool {
        self.reused_connection_faults.is_empty() && !self.new_connection_faults.is_empty()
    }
}

/// Lengths of the messages of an exchange, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLengths {
    pub request: usize,
    pub response: usize,
    pub response_head: usize,
}

/// A server's response; `is_rejection` if it states that the request was not executed.
#[derive(Clone)]
pub struct ScriptedResponse {
    pub bytes: Vec<u8>,
    pub is_rejection: bool,
}

/// Builds the response to the request with this id.
pub type ResponseFn = fn(&str) -> ScriptedResponse;

/// Servers of service `s` that share a request log and the planned faults.
#[derive(Clone)]
pub struct FaultyServers {
    request_log: Arc<Mutex<RequestLog>>,
    respond: ResponseFn,
}

impl FaultyServers {
    pub fn new(respond: ResponseFn) -> Self {
        Self { request_log: Arc::default(), respond }
    }

    pub fn request_log(&self) -> MutexGuard<'_, RequestLog> {
        self.request_log.lock().expect("no server thread has panicked with the lock held")
    }

    /// Plans each of these faults at every byte of the last recorded exchange, on new and on reused connections. Returns their number.
    pub fn plan_faults(&self, faults: &[(MessageKind, Fault)]) -> usize {
        let mut request_log = self.request_log();
        let lengths = request_log.last_exchange.expect("an exchange was recorded");
        let mut count = 0;
        for (message, fault) in faults {
            let end = match (message, fault) {
                // A fault after the complete request is planned as one before the response.
                (MessageKind::Request, _) => lengths.request,
                // The receiver can't distinguish a restart within the body from a body that contains these bytes.
                (MessageKind::Response, Fault::Restart) => lengths.response_head,
                (MessageKind::Response, _) => lengths.response + 1,
            };
            for offset in 0..end {
                request_log.new_connection_faults.push(PlannedFault {
                    reused_connection: false,
                    message: *message,
                    fault: *fault,
                    offset,
                });
                request_log.reused_connection_faults.push(PlannedFault {
                    reused_connection: true,
                    message: *message,
                    fault: *fault,
                    offset,
                });
                count += 2;
            }
        }
        count
    }

    /// Message lengths of the last recorded exchange; `None` before the first.
    pub fn last_exchange(&self) -> Option<ExchangeLengths> {
        self.request_log().last_exchange
    }

    /// Starts `count` servers; returns their entries for the platform's instance list.
    pub fn start(&self, ip: Ipv4Addr, count: usize) -> Vec<Value> {
        let start = |number| {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            let address = listener.local_addr().expect("the address of the listener");
            let servers = self.clone();
            thread::spawn(move || {
                for (connection, stream) in listener.incoming().flatten().enumerate() {
                    let servers = servers.clone();
                    // The first exchange of every other connection has no fault, so that there are connections to reuse.
                    thread::spawn(move || servers.serve_connection(stream, connection % 2 == 0));
                }
            });
            json!({"service": "s", "address": address.to_string(), "zone": "za", "revision": "v1", "slots": 64, "state": "ready",
                "cold_left_ms": 0, "id": format!("i-{number:03}")})
        };
        (0..count).map(start).collect()
    }

    fn serve_connection(&self, mut stream: TcpStream, fails_first_exchange: bool) {
        let _ = stream.set_nodelay(true);
        let (mut is_reused, mut pending) = (false, PendingDuplicate::default());
        while stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
            let plan = {
                let mut request_log = self.request_log();
                request_log.started_requests += 1;
                match is_reused {
                    true if !pending.has_pieces() => request_log.reused_connection_faults.pop(),
                    false if fails_first_exchange || request_log.reused_connection_faults.is_empty() => {
                        request_log.new_connection_faults.pop()
                    }
                    _ => None,
                }
            };
            let Some(is_readable) = self.exchange(&mut stream, plan, &mut pending) else { return };
            if !is_readable {
                self.request_log().stalled_connections.push(stream);
                return;
            }
            is_reused = true;
            // Once all faults for reused connections are injected, the router has to open new ones.
            if self.request_log().needs_new_connections() && !pending.has_pieces() {
                let _ = stream.shutdown(Shutdown::Write);
                self.record_request_after_close(&mut stream);
                return;
            }
        }
    }

    /// Records the request, if any, that the router sent before it detected that the server had closed the connection. The server does
    /// not execute the request.
    fn record_request_after_close(&self, stream: &mut TcpStream) {
        let mut received = Vec::new();
        let _ = read_up_to(stream, &mut received, usize::MAX);
        if let Some(id) = request_id(&received) {
            self.request_log().requests_after_close.push(id);
        }
    }

    /// Runs one exchange. `None` if the connection has ended, otherwise whether the server reads further requests from it.
    fn exchange(
        &self,
        stream: &mut TcpStream,
        plan: Option<PlannedFault>,
        pending: &mut PendingDuplicate,
    ) -> Option<bool> {
        let mut received = Vec::new();
        if let Some(plan) = plan.filter(|plan| plan.message == MessageKind::Request) {
            read_up_to(stream, &mut received, plan.offset)?;
            self.update_record(&received, |record| record.faults.push(plan));
            match plan.fault {
                Fault::Delay => thread::sleep(MESSAGE_DELAY),
                fault => {
                    self.update_record(&received, |record| record.arrivals += 1);
                    return end_exchange(stream, fault);
                }
            }
        }
        read_up_to(stream, &mut received, usize::MAX)?;
        let id = request_id(&received)
            .expect("a complete request has an id of REQUEST_ID_LENGTH bytes in its path");
        let response = (self.respond)(&id);
        self.record_request(&received, &id, &response, plan, pending);
        let (first, rest) = split_for_fault(&response.bytes, plan, pending);
        // A rejection counts if its head is complete. Bytes after a fault count too, although only a delay writes them.
        if response.is_rejection
            && first.len() + rest.as_ref().map_or(0, |(_, rest)| rest.len()) >= head_length(&response.bytes)
        {
            self.request_log().rejections += 1;
            self.update_record(&received, |record| record.rejections += 1);
        }
        stream.write_all(&first).ok()?;
        match rest {
            None => Some(true),
            Some((Fault::Delay, rest)) => {
                thread::sleep(MESSAGE_DELAY);
                stream.write_all(&rest).ok()?;
                Some(true)
            }
            Some((fault, _)) => end_exchange(stream, fault),
        }
    }

    fn record_request(
        &self,
        received: &[u8],
        id: &str,
        response: &ScriptedResponse,
        plan: Option<PlannedFault>,
        pending: &PendingDuplicate,
    ) {
        let mut request_log = self.request_log();
        let response_head = head_length(&response.bytes);
        request_log.last_exchange =
            Some(ExchangeLengths { request: received.len(), response: response.bytes.len(), response_head });
        if pending.has_sent_surplus {
            request_log.requests_after_surplus.push(id.to_owned());
        }
        let record = request_log.requests.entry(id.to_owned()).or_default();
        record.arrivals += 1;
        record.executions += usize::from(!response.is_rejection);
        record.after_duplicate |= pending.has_pieces();
        record.faults.extend(plan.filter(|plan| plan.message == MessageKind::Response));
    }

    fn update_record(&self, received: &[u8], update: impl FnOnce(&mut RequestRecord)) {
        if let Some(id) = request_id(received) {
            update(self.request_log().requests.entry(id).or_default());
        }
    }
}

/// Parts of a duplicate response that are to be sent before the next response on a connection.
#[derive(Default)]
struct PendingDuplicate {
    pieces: Vec<Vec<u8>>,
    has_sent_surplus: bool,
}

impl PendingDuplicate {
    fn has_pieces(&self) -> bool {
        !self.pieces.is_empty()
    }
}

/// Splits a response into the bytes that are written at once and, if a fault follows them, the fault and the remaining bytes, which only a
/// delay writes.
fn split_for_fault(
    raw: &[u8],
    plan: Option<PlannedFault>,
    pending: &mut PendingDuplicate,
) -> (Vec<u8>, Option<(Fault, Vec<u8>)>) {
    let mut pieces = std::mem::take(&mut pending.pieces);
    if !pieces.is_empty() {
        pending.has_sent_surplus = true;
        let first = pieces.remove(0);
        let rest = [pieces.concat(), raw.to_vec()].concat();
        return (first, Some((Fault::Delay, rest)));
    }
    let Some(plan) = plan.filter(|p| p.message == MessageKind::Response) else { return (raw.to_vec(), None) };
    let (before, after) = raw.split_at(plan.offset.min(raw.len()));
    match plan.fault {
        Fault::Close | Fault::Reset | Fault::Stall | Fault::Delay => {
            (before.to_vec(), Some((plan.fault, after.to_vec())))
        }
        Fault::SplitDuplicate => {
            pending.pieces = vec![after.to_vec()];
            pending.has_sent_surplus = !before.is_empty();
            ([raw, before].concat(), None)
        }
        Fault::LateDuplicate => {
            pending.pieces = vec![before.to_vec(), after.to_vec()];
            (raw.to_vec(), None)
        }
        Fault::Restart => ([before, raw].concat(), None),
    }
}

/// Ends an exchange with a fault: `Some(false)` if the connection stays open without being read, `None` if it ends.
fn end_exchange(stream: &TcpStream, fault: Fault) -> Option<bool> {
    match fault {
        Fault::Stall => Some(false),
        Fault::Reset => {
            let stream = stream.try_clone().ok()?;
            ivyhatch_socket_lab::scripted::Client::from_stream(stream).reset();
            None
        }
        _ => {
            let _ = stream.shutdown(Shutdown::Both);
            None
        }
    }
}

/// Reads until `max_length` bytes or a complete request have arrived. `None` if the connection ends before.
fn read_up_to(stream: &mut TcpStream, received: &mut Vec<u8>, max_length: usize) -> Option<()> {
    while received.len() < max_length && !is_complete_request(received) {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(0) => return None,
            Ok(_) => received.push(byte[0]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
    Some(())
}

/// Length of a message's head with its empty line, or of all bytes if the head is incomplete.
pub fn head_length(bytes: &[u8]) -> usize {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map_or(bytes.len(), |position| position + 4)
}

fn is_complete_request(received: &[u8]) -> bool {
    if !received.windows(4).any(|window| window == b"\r\n\r\n") {
        return false;
    }
    let (head, body) = received.split_at(head_length(received));
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    body.len() >= length.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// The id of a request: the last segment of its path. `None` if it has not arrived completely.
fn request_id(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received);
    let path = text.split(' ').nth(1)?;
    let id = path.rsplit('/').next()?;
    (id.len() == REQUEST_ID_LENGTH).then(|| id.to_owned())
}
