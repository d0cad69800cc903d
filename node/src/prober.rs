//! Load reports by probe: `GET` on the load path, over connections of its own, so that no request waits for a probe
//! and none is held up by one that hangs. Whom to probe and when is the module's; here it is carried out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, Uri};
use ivyhatch_balancer::{BackendId, LoadReport, Nanos, Outcome};
use ivyhatch_node_settings::Links;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::driver::{Clock, Ending, Node, ProbeTicket};
use crate::upstream::{Counted, IDLE_PART, Link, broken, figures, open_link};

/// Where the load report is.
const PATH: &str = "/stats";
/// A report that comes later than this says too little of the present; and a server that takes so long over some
/// bytes is not reached.
const WITHIN: Duration = Duration::from_millis(500);
/// No report is larger: a few numbers.
const MAX_REPORT: usize = 4 * 1024;

type Place = (BackendId, SocketAddr);

/// One probe to be made.
pub struct Probe {
    /// Which one; goes back with its end.
    pub ticket: ProbeTicket,
    /// Where its server listens.
    pub endpoint: SocketAddr,
    /// Resolves once it has been withdrawn.
    pub withdrawn: oneshot::Receiver<()>,
}

struct Kept {
    link: Link,
    since: Nanos,
}

/// Makes probes, and keeps a connection to each server that answered one.
pub struct Prober {
    kept: RefCell<HashMap<Place, Kept>>,
    /// Open connections, kept or not.
    open: Rc<Cell<usize>>,
    most: usize,
    links: Links,
    clock: Clock,
}

impl Prober {
    /// At most `most` connections are open together; they are no part of those for requests.
    pub fn new(links: Links, clock: Clock, most: usize) -> Self {
        Self { kept: RefCell::default(), open: Rc::default(), most: most.max(1), links, clock }
    }

    /// Starts a probe; its end comes back by [`Node::probed`], exactly once.
    pub fn start(self: &Rc<Self>, node: &Node, mut probe: Probe) {
        let (prober, node) = (self.clone(), node.clone());
        spawn_local(async move {
            let withdrawn = std::mem::replace(&mut probe.withdrawn, oneshot::channel().1);
            // What is not awaited to its end is dropped here, and its connection with it.
            let ending = tokio::select! {
                biased;
                _ = withdrawn => Ending::bare(Outcome::Cancelled),
                ending = prober.ask((probe.ticket.backend(), probe.endpoint), &node) => ending,
                () = sleep(WITHIN) => Ending::bare(Outcome::TimedOut),
            };
            node.probed(probe.ticket, ending);
        });
    }

    /// Drops the connection to a backend that has left, moved or started anew.
    pub fn retire(&self, backend: BackendId) {
        self.kept.borrow_mut().retain(|place, _| place.0 != backend);
    }

    /// Drops what has stood idle for too long.
    pub fn drop_stale(&self) {
        let now = self.clock.now();
        self.kept.borrow_mut().retain(|_, kept| self.is_good(kept, now));
    }

    fn is_good(&self, kept: &Kept, now: Nanos) -> bool {
        !kept.link.send.is_closed() && now.saturating_sub(kept.since) < self.links.idle / IDLE_PART
    }

    async fn ask(&self, place: Place, node: &Node) -> Ending {
        let kept = self.kept.borrow_mut().remove(&place).filter(|kept| self.is_good(kept, self.clock.now()));
        if let Some(Kept { link, .. }) = kept {
            match self.exchange(place, link, node).await {
                // Closed as it was written to, as idle connections are: that tells nothing of the server. It may
                // have been counted as a probe, so there is no other one for it.
                Some(ending) if ending.outcome == Outcome::Reset => return Ending::bare(Outcome::NotSent),
                Some(ending) => return ending,
                None => {}
            }
        }
        if !self.makes_room() {
            // No room for another connection is this node's own trouble.
            return Ending::bare(Outcome::NotSent);
        }
        let limit = Duration::from_nanos(self.links.connect_timeout).min(WITHIN);
        match open_link(place.1, limit, Counted::new(&self.open)).await {
            Some(link) => match self.exchange(place, link, node).await {
                Some(ending) => ending,
                None => Ending::bare(Outcome::ConnectFailed),
            },
            None => Ending::bare(Outcome::ConnectFailed),
        }
    }

    /// One probe and its answer. None if not a byte of it was written.
    async fn exchange(&self, place: Place, mut link: Link, node: &Node) -> Option<Ending> {
        link.send.ready().await.ok()?;
        let mut message = Request::new(Full::new(Bytes::new()));
        *message.uri_mut() = Uri::from_static(PATH);
        let host = HeaderValue::from_str(&place.1.to_string()).ok()?;
        message.headers_mut().insert(HOST, host);
        match link.send.try_send_request(message).await {
            Ok(response) => {
                let (ending, whole) = read(response).await;
                if whole && !link.send.is_closed() && node.serves_at(place.0, place.1) {
                    self.kept.borrow_mut().insert(place, Kept { link, since: self.clock.now() });
                }
                Some(ending)
            }
            Err(mut error) => match error.take_message() {
                Some(_) => None,
                None => Some(Ending::bare(broken(error.error()))),
            },
        }
    }

    /// Whether one more connection may be opened, if need be in place of the one kept for longest.
    fn makes_room(&self) -> bool {
        if self.open.get() >= self.most {
            let mut kept = self.kept.borrow_mut();
            let oldest = kept.iter().min_by_key(|(_, kept)| kept.since).map(|(place, _)| *place);
            // Its task ends, and gives its descriptor back, a moment later.
            return oldest.is_some_and(|place| kept.remove(&place).is_some());
        }
        true
    }
}

/// Reads an answer; also whether it was whole, so that its connection is of further use.
async fn read(response: Response<Incoming>) -> (Ending, bool) {
    let (head, body) = response.into_parts();
    let Ok(body) = Limited::new(body, MAX_REPORT).collect().await else {
        return (Ending::bare(Outcome::InvalidResponse), false);
    };
    let outcome = match head.status {
        StatusCode::OK => Outcome::Served,
        StatusCode::SERVICE_UNAVAILABLE => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let report = if outcome == Outcome::Served { figures(&body.to_bytes()) } else { LoadReport::default() };
    (Ending { report, ..Ending::bare(outcome) }, true)
}
