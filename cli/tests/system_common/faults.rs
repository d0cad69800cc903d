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
pub const ID_LENGTH: usize = 8;
/// How long a delayed message is held up.
const DELAY: Duration = Duration::from_millis(3);

/// The message at one of whose bytes an exchange goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Part {
    Request,
    Answer,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection is closed.
    Cut,
    /// The connection is reset.
    Reset,
    /// Nothing more is read or written, and the connection stays open.
    Mute,
    /// The rest is read or written a little later.
    Delay,
    /// So many bytes of a second copy of the answer come right behind the first, the rest in the place of the next answer.
    Double,
    /// The whole second copy comes in the place of the next answer, in two pieces.
    DoubleLate,
    /// So many bytes of the answer come, and then the answer from its beginning.
    Restart,
}

/// Where and how one exchange goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Plan {
    /// Whether the connection has carried an exchange before.
    pub kept: bool,
    pub part: Part,
    pub fault: Fault,
    /// How many bytes of the message come before it.
    pub at: usize,
}

/// One request as the servers have seen it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// How often it came, whole or with its id at least.
    pub arrivals: usize,
    /// How often it was read whole by a server that runs it.
    pub runs: usize,
    /// How often it was answered with a whole refusal.
    pub rejections: usize,
    /// What went wrong with it.
    pub plans: Vec<Plan>,
    /// It was answered in the place of a copy of another's answer.
    pub behind_a_copy: bool,
}

/// What reached the servers.
#[derive(Default)]
pub struct RequestLog {
    /// By id.
    pub requests: HashMap<String, Seen>,
    /// Requests of which at least a byte arrived, known by their ids or not.
    pub begun: usize,
    /// Whole rejections that were written.
    pub rejections: usize,
    /// Requests on a connection that had delivered surplus bytes.
    pub after_surplus: Vec<String>,
    /// Ids of requests that were received after the server had closed its side of the connection.
    pub after_close: Vec<String>,
    fresh: Vec<Plan>,
    kept: Vec<Plan>,
    held: Vec<TcpStream>,
    recorded: Option<Recorded>,
}

impl RequestLog {
    /// Plans that no exchange has carried out yet.
    pub fn left(&self) -> usize {
        self.fresh.len() + self.kept.len()
    }

    fn wants_fresh(&self) -> bool {
        self.kept.is_empty() && !self.fresh.is_empty()
    }
}

/// The lengths of an exchange's messages.
#[derive(Clone, Copy, Debug)]
pub struct Recorded {
    pub request: usize,
    pub answer: usize,
    pub answer_head: usize,
}

/// A message that a server answers with; `refuses` where it says that the request did not run.
#[derive(Clone)]
pub struct Reply {
    pub bytes: Vec<u8>,
    pub refuses: bool,
}

/// Makes the answer to the request with this id.
pub type Answers = fn(&str) -> Reply;

/// Servers of service `s` that share a request log and plans.
#[derive(Clone)]
pub struct Faulty {
    request_log: Arc<Mutex<RequestLog>>,
    answers: Answers,
}

impl Faulty {
    pub fn new(answers: Answers) -> Self {
        Self { request_log: Arc::default(), answers }
    }

    pub fn request_log(&self) -> MutexGuard<'_, RequestLog> {
        self.request_log.lock().expect("no server has panicked")
    }

    /// Adds plans for every byte of the exchange that was recorded last.
    pub fn plan(&self, faults: &[(Part, Fault)]) -> usize {
        let mut request_log = self.request_log();
        let recorded = request_log.recorded.expect("an exchange was recorded");
        let mut count = 0;
        for (part, fault) in faults {
            let end = match (part, fault) {
                // A request that has come whole goes wrong in its answer.
                (Part::Request, _) => recorded.request,
                // Within the body the difference is not visible.
                (Part::Answer, Fault::Restart) => recorded.answer_head,
                (Part::Answer, _) => recorded.answer + 1,
            };
            for at in 0..end {
                request_log.fresh.push(Plan { kept: false, part: *part, fault: *fault, at });
                request_log.kept.push(Plan { kept: true, part: *part, fault: *fault, at });
                count += 2;
            }
        }
        count
    }

    /// The exchange that was recorded last.
    pub fn recorded(&self) -> Option<Recorded> {
        self.request_log().recorded
    }

    /// Starts so many servers; returns their lines in the platform's list.
    pub fn start(&self, ip: Ipv4Addr, count: usize) -> Vec<Value> {
        let start = |number| {
            let listener = TcpListener::bind((ip, 0)).expect("an address");
            let at = listener.local_addr().expect("an address");
            let servers = self.clone();
            thread::spawn(move || {
                for (connection, stream) in listener.incoming().flatten().enumerate() {
                    let servers = servers.clone();
                    // Every other connection begins well, so that there are kept ones.
                    thread::spawn(move || servers.serve_connection(stream, connection % 2 == 0));
                }
            });
            json!({"service": "s", "address": at.to_string(), "zone": "za", "revision": "v1", "slots": 64, "state": "ready",
                "cold_left_ms": 0, "id": format!("i-{number:03}")})
        };
        (0..count).map(start).collect()
    }

    fn serve_connection(&self, mut stream: TcpStream, wrong_at_once: bool) {
        let _ = stream.set_nodelay(true);
        let (mut kept, mut owed) = (false, Owed::default());
        while stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
            let plan = {
                let mut request_log = self.request_log();
                request_log.begun += 1;
                match kept {
                    true if !owed.is_owed() => request_log.kept.pop(),
                    false if wrong_at_once || request_log.kept.is_empty() => request_log.fresh.pop(),
                    _ => None,
                }
            };
            let Some(still) = self.exchange(&mut stream, plan, &mut owed) else { return };
            if !still {
                self.request_log().held.push(stream);
                return;
            }
            kept = true;
            // With nothing left for kept connections, fresh ones are wanted.
            if self.request_log().wants_fresh() && !owed.is_owed() {
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
        if let Some(id) = id_of(&received) {
            self.request_log().after_close.push(id);
        }
    }

    /// One exchange. None where the connection has ended; else whether anything more is read from it.
    fn exchange(&self, stream: &mut TcpStream, plan: Option<Plan>, owed: &mut Owed) -> Option<bool> {
        let mut received = Vec::new();
        if let Some(plan) = plan.filter(|plan| plan.part == Part::Request) {
            read_up_to(stream, &mut received, plan.at)?;
            self.note(&received, |seen| seen.plans.push(plan));
            match plan.fault {
                Fault::Delay => thread::sleep(DELAY),
                fault => {
                    self.note(&received, |seen| seen.arrivals += 1);
                    return end(stream, fault);
                }
            }
        }
        read_up_to(stream, &mut received, usize::MAX)?;
        let id = id_of(&received).expect("a whole request has an id");
        let reply = (self.answers)(&id);
        self.record(&received, &id, &reply, plan, owed);
        let (first, then) = cut_up(&reply.bytes, plan, owed);
        // A refusal is one once its head is whole.
        if reply.refuses
            && first.len() + then.as_ref().map_or(0, |(_, rest)| rest.len()) >= head_length(&reply.bytes)
        {
            self.request_log().rejections += 1;
            self.note(&received, |seen| seen.rejections += 1);
        }
        stream.write_all(&first).ok()?;
        match then {
            None => Some(true),
            Some((Fault::Delay, rest)) => {
                thread::sleep(DELAY);
                stream.write_all(&rest).ok()?;
                Some(true)
            }
            Some((fault, _)) => end(stream, fault),
        }
    }

    fn record(&self, received: &[u8], id: &str, reply: &Reply, plan: Option<Plan>, owed: &Owed) {
        let mut request_log = self.request_log();
        let answer_head = head_length(&reply.bytes);
        request_log.recorded =
            Some(Recorded { request: received.len(), answer: reply.bytes.len(), answer_head });
        if owed.was_paid {
            request_log.after_surplus.push(id.to_owned());
        }
        let seen = request_log.requests.entry(id.to_owned()).or_default();
        seen.arrivals += 1;
        seen.runs += usize::from(!reply.refuses);
        seen.behind_a_copy |= owed.is_owed();
        seen.plans.extend(plan.filter(|plan| plan.part == Part::Answer));
    }

    fn note(&self, received: &[u8], note: impl FnOnce(&mut Seen)) {
        if let Some(id) = id_of(received) {
            note(self.request_log().requests.entry(id).or_default());
        }
    }
}

/// Bytes of a second copy that come in the place of the next answer.
#[derive(Default)]
struct Owed {
    pieces: Vec<Vec<u8>>,
    was_paid: bool,
}

impl Owed {
    fn is_owed(&self) -> bool {
        !self.pieces.is_empty()
    }
}

/// What is written at once, and what comes then: the fault, and the rest that a delay holds up.
fn cut_up(bytes: &[u8], plan: Option<Plan>, owed: &mut Owed) -> (Vec<u8>, Option<(Fault, Vec<u8>)>) {
    let mut pieces = std::mem::take(&mut owed.pieces);
    if !pieces.is_empty() {
        owed.was_paid = true;
        let first = pieces.remove(0);
        let rest = [pieces.concat(), bytes.to_vec()].concat();
        return (first, Some((Fault::Delay, rest)));
    }
    let Some(plan) = plan.filter(|plan| plan.part == Part::Answer) else { return (bytes.to_vec(), None) };
    let (before, behind) = bytes.split_at(plan.at.min(bytes.len()));
    match plan.fault {
        Fault::Cut | Fault::Reset | Fault::Mute | Fault::Delay => {
            (before.to_vec(), Some((plan.fault, behind.to_vec())))
        }
        Fault::Double => {
            owed.pieces = vec![behind.to_vec()];
            owed.was_paid = !before.is_empty();
            ([bytes, before].concat(), None)
        }
        Fault::DoubleLate => {
            owed.pieces = vec![before.to_vec(), behind.to_vec()];
            (bytes.to_vec(), None)
        }
        Fault::Restart => ([before, bytes].concat(), None),
    }
}

/// Ends an exchange. None where the connection has ended, else that it is held and not read.
fn end(stream: &TcpStream, fault: Fault) -> Option<bool> {
    match fault {
        Fault::Mute => Some(false),
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
fn read_up_to(stream: &mut TcpStream, received: &mut Vec<u8>, most: usize) -> Option<()> {
    while received.len() < most && !is_whole(received) {
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

fn is_whole(received: &[u8]) -> bool {
    if !received.windows(4).any(|four| four == b"\r\n\r\n") {
        return false;
    }
    let (head, body) = received.split_at(head_length(received));
    let head = String::from_utf8_lossy(head).to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|rest| rest.lines().next());
    body.len() >= length.and_then(|text| text.trim().parse().ok()).unwrap_or(0)
}

/// The id of a request, which ends its path.
fn id_of(received: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(received);
    let path = text.split(' ').nth(1)?;
    let id = path.rsplit('/').next()?;
    (id.len() == ID_LENGTH).then(|| id.to_owned())
}
