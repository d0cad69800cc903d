//! Servers that do one thing wrong at one byte of an exchange, and a log of the requests that reached them. The plans are shared by all
//! servers of a test: whichever exchange comes next is the one that goes wrong.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Length of each request's id; with it all requests of a test have the same length.
pub const REQUEST_ID_LENGTH: usize = 8;
/// How long a delayed message is held up.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);

/// The message at one of whose bytes an exchange goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MessageKind {
    Request,
    Response,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
    /// Nothing more is read or written, and the connection stays open.
    Stall,
    /// The rest is read or written a little later.
    Delay,
    /// So many bytes of a second copy of the answer come right behind the first, the rest in the place of the next answer.
    SplitDuplicate,
    /// The whole second copy comes in the place of the next answer, in two pieces.
    LateDuplicate,
    /// So many bytes of the answer come, and then the answer from its beginning.
    Restart,
}

/// Where and how one exchange goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlannedFault {
    /// Whether the connection has carried an exchange before.
    pub reused_connection: bool,
    pub message: MessageKind,
    pub fault: Fault,
    /// How many bytes of the message come before it.
    pub offset: usize,
}

/// One request as the servers have seen it.
#[derive(Clone, Debug, Default)]
pub struct RequestRecord {
    /// How often it came, whole or with its id at least.
    pub arrivals: usize,
    /// How often it was read whole by a server that runs it.
    pub executions: usize,
    /// How often it was answered with a whole refusal.
    pub rejections: usize,
    /// What went wrong with it.
    pub faults: Vec<PlannedFault>,
    /// It was answered in the place of a copy of another's answer.
    pub after_duplicate: bool,
}

/// What reached the servers.
#[derive(Default)]
pub struct RequestLog {
    /// By id.
    pub requests: HashMap<String, RequestRecord>,
    /// Requests of which at least a byte arrived, known by their ids or not.
    pub started_requests: usize,
    /// Whole rejections that were written.
    pub rejections: usize,
    /// Requests on a connection that had delivered surplus bytes.
    pub requests_after_surplus: Vec<String>,
    new_connection_faults: Vec<PlannedFault>,
    reused_connection_faults: Vec<PlannedFault>,
    stalled_connections: Vec<TcpStream>,
    last_exchange: Option<ExchangeLengths>,
}

impl RequestLog {
    /// Plans that no exchange has carried out yet.
    pub fn remaining_faults(&self) -> usize {
        self.new_connection_faults.len() + self.reused_connection_faults.len()
    }

    fn needs_new_connections(&self) -> bool {
        self.reused_connection_faults.is_empty() && !self.new_connection_faults.is_empty()
    }
}

/// The lengths of an exchange's messages.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeLengths {
    pub request: usize,
    pub response: usize,
    pub response_head: usize,
}

/// A message that a server answers with; `refuses` where it says that the request did not run.
#[derive(Clone)]
pub struct ScriptedResponse {
    pub bytes: Vec<u8>,
    pub is_rejection: bool,
}

/// Makes the answer to the request with this id.
pub type ResponseFn = fn(&str) -> ScriptedResponse;

/// Servers of service `s` that share a request log and plans.
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
        self.request_log.lock().expect("no server has panicked")
    }

    /// Adds plans for every byte of the exchange that was recorded last.
    pub fn plan_faults(&self, faults: &[(MessageKind, Fault)]) -> usize {
        let mut request_log = self.request_log();
        let recorded = request_log.last_exchange.expect("an exchange was recorded");
        let mut count = 0;
        for (message, fault) in faults {
            let end = match (message, fault) {
                // A request that has come whole goes wrong in its answer.
                (MessageKind::Request, _) => recorded.request,
                // Within the body the difference is not visible.
                (MessageKind::Response, Fault::Restart) => recorded.response_head,
                (MessageKind::Response, _) => recorded.response + 1,
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

    /// The exchange that was recorded last.
    pub fn last_exchange(&self) -> Option<ExchangeLengths> {
        self.request_log().last_exchange
    }

    /// Starts so many servers; returns their lines in the platform's list.
    pub fn start(&self, ip: Ipv4Addr, count: usize) -> Vec<Value> {
        let start = |number| {
            let listener = TcpListener::bind((ip, 0)).expect("an address");
            let address = listener.local_addr().expect("an address");
            let servers = self.clone();
            thread::spawn(move || {
                for (connection, stream) in listener.incoming().flatten().enumerate() {
                    let servers = servers.clone();
                    // Every other connection begins well, so that there are kept ones.
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
            // With nothing left for kept connections, fresh ones are wanted.
            if self.request_log().needs_new_connections() && !pending.has_pieces() {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// One exchange. None where the connection has ended; else whether anything more is read from it.
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
        let id = request_id(&received).expect("a whole request has an id");
        let response = (self.respond)(&id);
        self.record_request(&received, &id, &response, plan, pending);
        let (first, rest) = split_for_fault(&response.bytes, plan, pending);
        // A refusal is one once its head is whole.
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

/// Bytes of a second copy that come in the place of the next answer.
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

/// What is written at once, and what comes then: the fault, and the rest that a delay holds up.
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

/// Ends an exchange. None where the connection has ended, else that it is held and not read.
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

/// Reads until so many bytes have come, or a whole request has. None where the connection ends first.
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

/// Length of a message's head, or of what there is of it.
pub fn head_length(bytes: &[u8]) -> usize {
    bytes.windows(4).position(|four| four == b"\r\n\r\n").map_or(bytes.len(), |at| at + 4)
}

fn is_complete_request(received: &[u8]) -> bool {
    if !received.windows(4).any(|four| four == b"\r\n\r\n") {
        return false;
    }
    let (head, body) = received.split_at(head_length(received));
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    body.len() >= length.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// The id of a request, which ends its path.
fn request_id(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received);
    let path = text.split(' ').nth(1)?;
    let id = path.rsplit('/').next()?;
    (id.len() == REQUEST_ID_LENGTH).then(|| id.to_owned())
}
