//! Attempts to send requests to servers. What happened to an attempt becomes an outcome; whether there is another is not decided
//! here, and nothing is sent twice.

mod pool;
mod response;

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri};
use ivyhatch_balancer::{BackendId, Outcome};
use ivyhatch_node::hop_by_hop::without_hop_by_hop_headers;
use ivyhatch_protocol::{MILLISECOND, Nanos};
use ivyhatch_routing::event_stream::EventStreamParser;
use ivyhatch_routing::load_report::LoadReport;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep_until, timeout};

use super::answer::Head;
use super::clients::{ATTEMPT_ID, DEADLINE, EXPECT_INSTANCE, LAST_EVENT};
use super::dispatch::{Dispatcher, Ending, Launch, Service};
use crate::clock::Clock;
use pool::{Connection, ConnectionPool, DEFAULT_KEEP_ALIVE};
use response::{Verdict, broken};

/// The longest whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// The rest of a refusal is waited for so long, to use its connection again.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Makes attempts over connections that are kept.
pub struct Upstream {
    pool: ConnectionPool,
    clock: Clock,
}

/// How an exchange ended.
struct Exchange {
    ending: Ending,
    /// How long its server keeps the connection; none where the connection is of no more use.
    keep_alive: Option<Nanos>,
}

impl Exchange {
    fn broken(outcome: Outcome) -> Self {
        Self { ending: Ending::bare(outcome), keep_alive: None }
    }
}

/// What came of sending a request.
enum Sent {
    /// The head of an answer.
    Answered(Response<Incoming>),
    /// The connection was closed before a byte was written.
    Unwritten,
    /// It may have run.
    Lost(Outcome),
}

impl Upstream {
    /// At most `max_open` connections are open together.
    pub fn new(clock: Clock, max_open: usize) -> Self {
        Self { pool: ConnectionPool::new(clock, max_open), clock }
    }

    /// Closes connections that have been idle for too long; never ends.
    pub async fn sweep(self: Rc<Self>) {
        self.pool.sweep().await;
    }

    /// Drops the idle connections to a server that has left.
    pub fn retire(&self, service: Service, backend: BackendId) {
        self.pool.retire((service, backend));
    }

    /// Makes an attempt; its end goes back to the dispatcher, exactly once.
    pub fn launch(self: &Rc<Self>, dispatcher: &Dispatcher, launch: Launch) {
        let (upstream, dispatcher) = (self.clone(), dispatcher.clone());
        spawn_local(async move { upstream.run(dispatcher, launch).await });
    }

    async fn run(&self, dispatcher: Dispatcher, mut launch: Launch) {
        let written = Cell::new(false);
        let withdrawn = std::mem::replace(&mut launch.withdrawn, tokio::sync::oneshot::channel().1);
        // Never written, it never ran: a refusal is still open then.
        let unless_written = |outcome| if written.get() { outcome } else { Outcome::NotSent };
        let ending = tokio::select! {
            biased;
            _ = withdrawn => Ending::bare(unless_written(Outcome::Cancelled)),
            ending = self.attempt(&dispatcher, &launch, &written) => ending,
            () = sleep_until(self.clock.instant(launch.give_up)) => Ending::bare(unless_written(Outcome::TimedOut)),
        };
        dispatcher.settled(launch.ticket, ending);
    }

    async fn attempt(&self, dispatcher: &Dispatcher, launch: &Launch, written: &Cell<bool>) -> Ending {
        let place = (launch.ticket.service, launch.ticket.backend);
        loop {
            let mut connection = match self.pool.take(place, &launch.id) {
                Some(connection) => connection,
                None => match self.pool.connect(launch).await {
                    Some(connection) => connection,
                    None => return Ending::bare(Outcome::ConnectFailed),
                },
            };
            if connection.was_idle {
                // A close or stray bytes that the system has already got are seen first.
                yield_now().await;
            }
            if connection.sender.ready().await.is_err() {
                if connection.was_idle {
                    continue;
                }
                return Ending::bare(Outcome::ConnectFailed);
            }
            // The connect may have outlasted the request, or the server's place on the list.
            if !dispatcher.may_write(launch.ticket) {
                self.pool.keep(place, connection, DEFAULT_KEEP_ALIVE);
                return Ending::bare(Outcome::NotSent);
            }
            let Some(message) = self.message(launch) else { return Ending::bare(Outcome::NotSent) };
            written.set(true);
            let response = match self.send(launch, &mut connection.sender, message).await {
                Sent::Answered(response) => response,
                Sent::Lost(outcome) => return Ending::bare(outcome),
                Sent::Unwritten => {
                    written.set(false);
                    if connection.was_idle {
                        continue;
                    }
                    return Ending::bare(Outcome::ConnectFailed);
                }
            };
            let first = connection.last_request.is_none();
            let exchange = self.read_answer(dispatcher, launch, response, first).await;
            if let Some(keep_alive) = exchange.keep_alive {
                let last_request = Some(launch.id.clone());
                self.pool.keep(place, Connection { last_request, ..connection }, keep_alive);
            }
            return exchange.ending;
        }
    }

    fn message(&self, launch: &Launch) -> Option<Request<Full<Bytes>>> {
        let call = &launch.call;
        let left = launch.not_after.saturating_sub(self.clock.now()) / MILLISECOND;
        let mut message = Request::new(Full::new(call.body.clone()));
        *message.method_mut() = call.method.clone();
        *message.uri_mut() = call.target.clone().map_or_else(|| Uri::from_static("/"), Uri::from);
        *message.headers_mut() = call.headers.clone();
        let headers = message.headers_mut();
        headers.insert(DEADLINE, HeaderValue::from(left));
        headers.insert(EXPECT_INSTANCE, HeaderValue::from_str(&launch.instance).ok()?);
        if let Some(last) = launch.last_event {
            headers.insert(LAST_EVENT, HeaderValue::from(last));
        }
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_str(&launch.endpoint.to_string()).ok()?);
        }
        Some(message)
    }

    async fn send(
        &self,
        launch: &Launch,
        sender: &mut SendRequest<Full<Bytes>>,
        message: Request<Full<Bytes>>,
    ) -> Sent {
        let mut sending = std::pin::pin!(sender.try_send_request(message));
        match self.unless_unreachable(launch, launch.idle_timeouts.0, &mut sending).await {
            None => Sent::Lost(Outcome::Reset),
            Some(Ok(response)) => Sent::Answered(response),
            Some(Err(mut error)) => match error.take_message() {
                Some(_) => Sent::Unwritten,
                None => Sent::Lost(broken(error.error())),
            },
        }
    }

    /// Reads an answer, the `first` of its connection or a later one.
    async fn read_answer(
        &self,
        dispatcher: &Dispatcher,
        launch: &Launch,
        response: Response<Incoming>,
        first: bool,
    ) -> Exchange {
        let (head, body) = response.into_parts();
        let verdict = response::judge(&head, launch, first, body.size_hint().exact().is_some());
        let load = response::load(&head.headers);
        let keep_alive = response::keep_alive(&head.headers);
        let status = head.status;
        let passed = Head { status, headers: without_hop_by_hop_headers(head.headers, &[ATTEMPT_ID]) };
        match verdict {
            Verdict::Spoilt => Exchange::broken(Outcome::InvalidResponse),
            // It may have run, and the client must not be told that it did not.
            Verdict::FalsePromise => Exchange::broken(Outcome::Error),
            // The server that was meant is gone.
            Verdict::Misdirected => {
                let ending = Ending { load, ..Ending::bare(Outcome::ConnectFailed) };
                Exchange { ending, keep_alive: None }
            }
            Verdict::NotExecuted => {
                let ending = Ending { load, ..Ending::bare(Outcome::Rejected) };
                let whole = refusal_is_whole(body).await;
                Exchange { ending, keep_alive: whole.then_some(keep_alive) }
            }
            Verdict::Stream => self.stream(dispatcher, launch, passed, body, load, keep_alive).await,
            Verdict::Whole => read_whole(passed, body, load, keep_alive).await,
        }
    }

    /// Waits for something from a server. None where it has been silent for longer than usual and takes no connection either:
    /// then it is gone, and what may go on elsewhere does.
    async fn unless_unreachable<F: Future>(
        &self,
        launch: &Launch,
        idle_timeout: Duration,
        what: &mut Pin<&mut F>,
    ) -> Option<F::Output> {
        if !launch.movable {
            return Some(what.await);
        }
        let mut patience = idle_timeout;
        loop {
            match timeout(patience, what.as_mut()).await {
                Ok(came) => return Some(came),
                Err(_) if self.pool.is_unreachable(launch).await => return None,
                Err(_) => patience *= 2,
            }
        }
    }

    /// Passes a stream on, event by event.
    async fn stream(
        &self,
        dispatcher: &Dispatcher,
        launch: &Launch,
        head: Head,
        mut body: Incoming,
        load: Option<LoadReport>,
        keep_alive: Nanos,
    ) -> Exchange {
        let mut events = EventStreamParser::resume_after(launch.last_event);
        let (mut sink, mut head) = (None, Some(head));
        loop {
            let mut frame = std::pin::pin!(body.frame());
            let Some(frame) = self.unless_unreachable(launch, launch.idle_timeouts.1, &mut frame).await
            else {
                return Exchange::broken(Outcome::Reset);
            };
            let data = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Some(Err(error)) => return Exchange::broken(broken(&error)),
                // An event that has not ended is none, whatever the framing says.
                None if !events.is_at_event_boundary() => return Exchange::broken(Outcome::InvalidResponse),
                None => break,
            };
            let passed = match events.feed(&data) {
                Ok(Some(passed)) => passed,
                Ok(None) => continue,
                Err(error) => {
                    log::warn!("event=spoilt_stream error={:?}", error.to_string());
                    return Exchange::broken(Outcome::InvalidResponse);
                }
            };
            if let Some(head) = head.take() {
                sink = dispatcher.begun(launch.ticket, head, load);
            }
            let Some(to) = &sink else { return Exchange::broken(Outcome::Cancelled) };
            if !to.pass(Bytes::from(passed.bytes)).await {
                // The client has left.
                return Exchange::broken(Outcome::Cancelled);
            }
            dispatcher.passed(launch.ticket, passed.last_id);
        }
        if let Some(head) = head.take() {
            // A stream without events.
            sink = dispatcher.begun(launch.ticket, head, load);
        }
        drop(sink);
        Exchange { ending: Ending { load, ..Ending::bare(Outcome::Served) }, keep_alive: Some(keep_alive) }
    }
}

/// Reads the rest of an answer that is passed on whole.
async fn read_whole(head: Head, body: Incoming, load: Option<LoadReport>, keep_alive: Nanos) -> Exchange {
    let body = match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(whole) => whole.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Exchange::broken(Outcome::InvalidResponse),
        Err(error) => {
            return Exchange::broken(error.downcast_ref::<hyper::Error>().map_or(Outcome::Reset, broken));
        }
    };
    // What a client did wrong is no fault of the server's; its own failure may have run.
    let outcome = if head.status.is_server_error() { Outcome::Error } else { Outcome::Served };
    let ending = Ending { outcome, load, answer: Some((head, body)) };
    Exchange { ending, keep_alive: Some(keep_alive) }
}

/// Whether the rest of a refusal has come, so that its connection may be used again. Its head says it all: a server that falls silent
/// in its refusal holds nobody up.
async fn refusal_is_whole(body: Incoming) -> bool {
    let rest = timeout(REFUSAL_BODY_TIMEOUT, Limited::new(body, MAX_ANSWER_BYTES).collect()).await;
    rest.is_ok_and(|rest| rest.is_ok())
}
