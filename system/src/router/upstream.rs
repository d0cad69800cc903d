//! The servers' side: connections that are kept, and single attempts over them. What happened to an attempt becomes an outcome;
//! whether there is another is not decided here, and nothing is sent twice.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use badgerpost::front::end_to_end;
use brookfield::{BackendId, Outcome};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{
    AsHeaderName, CONTENT_ENCODING, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::{Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use ivyhatch_protocol::{MILLISECOND, Nanos, SECOND};
use ivyhatch_routing::engine::Load;
use ivyhatch_routing::events::Events;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, sleep_until, timeout};

use super::answer::Head;
use super::clients::{ATTEMPT_ID, DEADLINE, EXPECT_INSTANCE, LAST_EVENT};
use super::dispatch::{Dispatcher, Ending, Launch, Service};
use crate::clock::Clock;
use crate::link::tune;

/// No whole answer is longer, in bytes.
const LONGEST_ANSWER: usize = 8 << 20;
const LONGEST_HEAD: usize = 32 * 1024;
/// A connection that is not up by then counts as failed, as long as the way to its region is not known ...
const CONNECT: Duration = Duration::from_millis(350);
/// ... and after that where it takes this much longer than so many times the quickest one there.
const CONNECT_MORE: Duration = Duration::from_millis(120);
const CONNECT_TIMES: u32 = 4;
/// The rest of a refusal is waited for so long, to use its connection again.
const REFUSAL_REST: Duration = Duration::from_millis(50);
/// A connection rests this long after an answer: what comes behind one shows as not asked for, and so does a close.
const REST: Nanos = 2 * MILLISECOND;
/// Servers that say nothing of it are taken to keep an idle connection for so long.
const KEPT: Nanos = 4 * SECOND;
/// A connection is used up to this long before its server closes it.
const KEEP_MARGIN: Nanos = 1200 * MILLISECOND;
/// Whether a server takes a connection is looked at no more often than this.
const LOOK_COUNTS: Nanos = 300 * MILLISECOND;
const SWEEP: Duration = Duration::from_secs(1);

/// Statuses by which a client knows that its request did not run and never will.
const PROMISES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

const STAMP: HeaderName = HeaderName::from_static("ivyhatch-server-stamp");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("ivyhatch-not-executed");
const LOAD: HeaderName = HeaderName::from_static("ivyhatch-server-load");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

type Sender = SendRequest<Full<Bytes>>;
type Place = (Service, BackendId);

/// A look at a server, and when it began.
type Look = (Nanos, Rc<OnceCell<bool>>);

struct Idle {
    sender: Sender,
    /// The request that it carried last; none where it has not carried any.
    carried: Option<Rc<str>>,
    since: Nanos,
    until: Nanos,
}

/// Connections to servers.
pub struct Upstream {
    idle: RefCell<HashMap<Place, Vec<Idle>>>,
    /// Looks at servers that have fallen silent, and since when each counts.
    looks: RefCell<HashMap<Place, Look>>,
    /// The quickest connect to each region.
    ways: RefCell<HashMap<u32, Duration>>,
    open: Rc<Cell<usize>>,
    most: usize,
    clock: Clock,
}

struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// How an exchange ended, and whether its connection may be used again, up to when.
struct Exchanged {
    ending: Ending,
    kept_for: Option<Nanos>,
}

impl Exchanged {
    fn broken(outcome: Outcome) -> Self {
        Self { ending: Ending::bare(outcome), kept_for: None }
    }
}

impl Upstream {
    /// At most `most` connections are open together.
    pub fn new(clock: Clock, most: usize) -> Self {
        Self {
            idle: RefCell::default(),
            looks: RefCell::default(),
            ways: RefCell::default(),
            open: Rc::default(),
            most,
            clock,
        }
    }

    /// Closes what has been idle for too long; never ends.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            sleep(SWEEP).await;
            let now = self.clock.now();
            self.idle.borrow_mut().retain(|_, idle| {
                idle.retain(|idle| !idle.sender.is_closed() && now < idle.until);
                !idle.is_empty()
            });
        }
    }

    /// Drops the idle connections to a server that has left.
    pub fn retire(&self, service: Service, backend: BackendId) {
        self.idle.borrow_mut().remove(&(service, backend));
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
        let unless_written = |outcome| if written.get() { outcome } else { Outcome::Moot };
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
            let (mut sender, carried, fresh) = match self.take(place, &launch.id) {
                Some((sender, carried)) => (sender, carried, false),
                None => match self.connect(launch).await {
                    Some(sender) => (sender, None, true),
                    None => return Ending::bare(Outcome::ConnectFailed),
                },
            };
            if !fresh {
                // A close or stray bytes that the system has already got are seen first.
                yield_now().await;
            }
            if sender.ready().await.is_err() {
                if fresh {
                    return Ending::bare(Outcome::ConnectFailed);
                }
                continue;
            }
            // The connect may have outlasted the request, or the server's place on the list.
            if !dispatcher.may_write(launch.ticket) {
                self.keep(place, sender, carried, Some(KEPT));
                return Ending::bare(Outcome::Moot);
            }
            let Some(message) = self.message(launch) else { return Ending::bare(Outcome::Moot) };
            written.set(true);
            let mut asked = std::pin::pin!(sender.try_send_request(message));
            let Some(response) = self.unless_dark(launch, launch.quiet.0, &mut asked).await else {
                return Ending::bare(Outcome::Reset);
            };
            let response = match response {
                Ok(response) => response,
                Err(mut error) => match error.take_message() {
                    // Not a byte was written: another connection.
                    Some(_) if !fresh => {
                        written.set(false);
                        continue;
                    }
                    Some(_) => {
                        written.set(false);
                        return Ending::bare(Outcome::ConnectFailed);
                    }
                    None => return Ending::bare(broken(error.error())),
                },
            };
            let exchanged = self.answered(dispatcher, launch, response, carried.is_none()).await;
            self.keep(place, sender, Some(launch.id.clone()), exchanged.kept_for);
            return exchanged.ending;
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

    /// Reads an answer, the `first` of its connection or a later one.
    async fn answered(
        &self,
        dispatcher: &Dispatcher,
        launch: &Launch,
        response: Response<Incoming>,
        first: bool,
    ) -> Exchanged {
        let (head, body) = response.into_parts();
        let headers = &head.headers;
        // Where a server began its answer anew in the middle of a line, there are two, and the first is damaged.
        if is_repeated(headers, ATTEMPT_ID) || is_repeated(headers, &STAMP) {
            return Exchanged::broken(Outcome::Spoilt);
        }
        let id = headers.get(ATTEMPT_ID).and_then(|id| id.to_str().ok());
        let refused = headers.contains_key(NOT_EXECUTED) || head.status == StatusCode::MISDIRECTED_REQUEST;
        // An answer that was held up may come in the place of the next one. Without an id only the first answer of a connection is
        // known to belong to its request, and only a refusal is taken so.
        if id.is_some_and(|id| id != &*launch.id) || (id.is_none() && !(refused && first)) {
            return Exchanged::broken(Outcome::Spoilt);
        }
        let kept_for = Some(kept_for(headers));
        let load = headers.get(LOAD).and_then(|text| text.to_str().ok()).and_then(Load::read);
        if refused {
            // The head says it all: a server that falls silent in its refusal holds nobody up.
            let rest = timeout(REFUSAL_REST, Limited::new(body, LONGEST_ANSWER).collect());
            let whole = rest.await.is_ok_and(|rest| rest.is_ok());
            let moved = head.status == StatusCode::MISDIRECTED_REQUEST;
            // Another server has the address: the one that was meant is gone.
            let outcome = if moved { Outcome::ConnectFailed } else { Outcome::Full };
            let kept_for = kept_for.filter(|_| whole && !moved);
            return Exchanged { ending: Ending { load, ..Ending::bare(outcome) }, kept_for };
        }
        // Such a status with no word that it was not executed: it may have run, and the client must not be told that it did not.
        if !launch.movable && PROMISES.contains(&head.status) {
            return Exchanged::broken(Outcome::Error);
        }
        let framed = body.size_hint().exact().is_some() || headers.contains_key(TRANSFER_ENCODING);
        let encoded = headers.get(CONTENT_ENCODING).is_some_and(|coding| coding != "identity");
        let success = head.status.is_success();
        if !framed || encoded || head.status.is_informational() || (success && !headers.contains_key(STAMP)) {
            return Exchanged::broken(Outcome::Spoilt);
        }
        let streams = launch.streams && success && !headers.contains_key(CONTENT_LENGTH);
        let passed = Head { status: head.status, headers: end_to_end(head.headers, &[ATTEMPT_ID]) };
        if streams {
            return self.stream(dispatcher, launch, passed, body, load, kept_for).await;
        }
        let body = match Limited::new(body, LONGEST_ANSWER).collect().await {
            Ok(whole) => whole.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => return Exchanged::broken(Outcome::Spoilt),
            Err(error) => {
                return Exchanged::broken(
                    error.downcast_ref::<hyper::Error>().map_or(Outcome::Reset, broken),
                );
            }
        };
        // What a client did wrong is no fault of the server's; its own failure may have run.
        let outcome = if head.status.is_server_error() { Outcome::Error } else { Outcome::Served };
        Exchanged { ending: Ending { load, answer: Some((passed, body)), ..Ending::bare(outcome) }, kept_for }
    }

    /// Waits for something from a server. None where it has been silent for longer than usual and takes no connection either:
    /// then it is gone, and what may go on elsewhere does.
    async fn unless_dark<F: Future>(
        &self,
        launch: &Launch,
        quiet: Duration,
        what: &mut Pin<&mut F>,
    ) -> Option<F::Output> {
        if !launch.movable {
            return Some(what.await);
        }
        let mut patience = quiet;
        loop {
            match timeout(patience, what.as_mut()).await {
                Ok(came) => return Some(came),
                Err(_) if self.is_dark(launch).await => return None,
                Err(_) => patience *= 2,
            }
        }
    }

    /// Whether a server takes no connection. Those who ask at the same time share one try.
    async fn is_dark(&self, launch: &Launch) -> bool {
        let place = (launch.ticket.service, launch.ticket.backend);
        let now = self.clock.now();
        let look = {
            let mut looks = self.looks.borrow_mut();
            looks.retain(|_, (since, _)| now < *since + LOOK_COUNTS);
            looks.entry(place).or_insert_with(|| (now, Rc::default())).1.clone()
        };
        let dark = look.get_or_init(|| async {
            match self.connect(launch).await {
                // It serves the next request there.
                Some(sender) => {
                    self.keep(place, sender, None, Some(KEPT));
                    false
                }
                None => true,
            }
        });
        *dark.await
    }

    /// Passes a stream on, event by event.
    async fn stream(
        &self,
        dispatcher: &Dispatcher,
        launch: &Launch,
        head: Head,
        mut body: Incoming,
        load: Option<Load>,
        kept_for: Option<Nanos>,
    ) -> Exchanged {
        let mut events = Events::behind(launch.last_event);
        let (mut sink, mut head) = (None, Some(head));
        loop {
            let mut frame = std::pin::pin!(body.frame());
            let Some(frame) = self.unless_dark(launch, launch.quiet.1, &mut frame).await else {
                return Exchanged::broken(Outcome::Reset);
            };
            let data = match frame {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Some(Err(error)) => return Exchanged::broken(broken(&error)),
                // An event that has not ended is none, whatever the framing says.
                None if !events.at_an_end() => return Exchanged::broken(Outcome::Spoilt),
                None => break,
            };
            let passed = match events.feed(&data) {
                Ok(Some(passed)) => passed,
                Ok(None) => continue,
                Err(error) => {
                    log::warn!("event=spoilt_stream error={:?}", error.to_string());
                    return Exchanged::broken(Outcome::Spoilt);
                }
            };
            if let Some(head) = head.take() {
                sink = dispatcher.begun(launch.ticket, head, load);
            }
            let Some(to) = &sink else { return Exchanged::broken(Outcome::Cancelled) };
            if !to.pass(Bytes::from(passed.bytes)).await {
                // The client has left.
                return Exchanged::broken(Outcome::Cancelled);
            }
            dispatcher.passed(launch.ticket, passed.last_id);
        }
        if let Some(head) = head.take() {
            // A stream without events.
            sink = dispatcher.begun(launch.ticket, head, load);
        }
        drop(sink);
        Exchanged { ending: Ending { load, ..Ending::bare(Outcome::Served) }, kept_for }
    }

    /// An idle connection that has rested; the one used last, so that those in excess grow old. Never one that carried the same
    /// request last: a late copy of the answer then would bear the id of the one that is awaited.
    fn take(&self, place: Place, id: &str) -> Option<(Sender, Option<Rc<str>>)> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&place)?;
        kept.retain(|idle| !idle.sender.is_closed() && now < idle.until);
        let fits = |idle: &Idle| now >= idle.since + REST && idle.carried.as_deref() != Some(id);
        let rested = kept.iter().rposition(fits)?;
        let taken = kept.remove(rested);
        Some((taken.sender, taken.carried))
    }

    fn keep(&self, place: Place, sender: Sender, carried: Option<Rc<str>>, kept_for: Option<Nanos>) {
        let Some(kept_for) = kept_for.filter(|_| !sender.is_closed()) else { return };
        let now = self.clock.now();
        let idle = Idle { sender, carried, since: now, until: now + kept_for.saturating_sub(KEEP_MARGIN) };
        self.idle.borrow_mut().entry(place).or_default().push(idle);
    }

    async fn connect(&self, launch: &Launch) -> Option<Sender> {
        let (endpoint, region) = (launch.endpoint, launch.region);
        if self.open.get() >= self.most {
            self.drop_oldest();
        }
        // One that was dropped is closed a moment later, by its own task.
        if self.open.get() >= self.most + (self.most / 8).max(2) {
            return None;
        }
        self.open.set(self.open.get() + 1);
        let counted = Counted(self.open.clone());
        let way = self.ways.borrow().get(&region).copied();
        let within = way.map_or(CONNECT, |way| (way * CONNECT_TIMES + CONNECT_MORE).min(CONNECT));
        let began = self.clock.now();
        let stream = timeout(within, TcpStream::connect(endpoint)).await.ok()?.ok()?;
        let took = Duration::from_nanos(self.clock.now() - began);
        self.ways.borrow_mut().entry(region).and_modify(|way| *way = took.min(*way)).or_insert(took);
        tune(&stream);
        let mut builder = Builder::new();
        builder.max_buf_size(LONGEST_HEAD);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            let _counted = counted;
            if let Err(error) = connection.await {
                log::debug!("event=connection_broken server={endpoint} error={:?}", error.to_string());
            }
        });
        Some(sender)
    }

    fn drop_oldest(&self) {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|kept| !kept.is_empty()).min_by_key(|kept| kept[0].since);
        if let Some(kept) = oldest {
            kept.remove(0);
        }
    }
}

/// Whether a header that may stand once stands more often.
fn is_repeated(headers: &HeaderMap, name: impl AsHeaderName) -> bool {
    headers.get_all(name).iter().nth(1).is_some()
}

/// How long a server keeps an idle connection, by its own word.
fn kept_for(headers: &HeaderMap) -> Nanos {
    let text = headers.get(KEEP_ALIVE).and_then(|text| text.to_str().ok()).unwrap_or("");
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok());
    seconds.map_or(KEPT, |seconds| seconds.saturating_mul(SECOND))
}

/// What a broken answer was: a connection that ended, or one that brought what is no answer.
fn broken(error: &hyper::Error) -> Outcome {
    if error.is_parse() { Outcome::Spoilt } else { Outcome::Reset }
}
