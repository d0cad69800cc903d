//! Clients that reuse their connections until these end, whatever happens to the routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::recorder::{Ending, Recorder, Service};
use crate::system_common::calls::{Client, request};

/// Mean pauses between a response and the client's next request. One of them is drawn for each run.
pub const MEAN_PAUSES: [Duration; 3] =
    [Duration::from_millis(60), Duration::from_millis(250), Duration::from_millis(1000)];
/// Mean pause after a failed attempt to connect.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Fraction of the requests that go to the service whose requests must not be executed more than once.
const UNSAFE_FRACTION: f64 = 0.3;
/// Fraction of the requests after which a client closes its connection.
const DISCONNECT_FRACTION: f64 = 0.02;

/// State that all clients of a run share.
pub struct ClientState {
    /// The routers' hosts and addresses.
    pub routers: Vec<(u8, SocketAddr)>,
    pub recorder: Arc<Recorder>,
    /// Id of the next request, unique within the run.
    pub next_id: AtomicU64,
    pub mean_pause: Duration,
    /// Signals the clients to stop.
    pub stop: AtomicBool,
}

/// Starts a client that sends requests until `stop` is set.
pub fn start(state: &Arc<ClientState>, seed: u64) -> JoinHandle<()> {
    let state = state.clone();
    let client = move || LoadClient { rng: StdRng::seed_from_u64(seed), state, connection: None }.run();
    thread::Builder::new().stack_size(256 * 1024).spawn(client).unwrap()
}

struct LoadClient {
    rng: StdRng,
    state: Arc<ClientState>,
    connection: Option<(u8, Client)>,
}

impl LoadClient {
    fn run(mut self) {
        while !self.state.stop.load(Ordering::SeqCst) {
            let started_at = Instant::now();
            let pause = self.send_one_request();
            let pause = pause.mul_f64(self.rng.random_range(0.0..2.0));
            thread::park_timeout(pause.saturating_sub(started_at.elapsed() / 4));
        }
    }

    /// Sends one request and reads its response. Returns the mean pause before the next request.
    fn send_one_request(&mut self) -> Duration {
        let service = if self.rng.random_bool(UNSAFE_FRACTION) { Service::Unsafe } else { Service::Safe };
        let id = self.state.next_id.fetch_add(1, Ordering::SeqCst);
        let open_connection = self.connection.take();
        let router = open_connection.as_ref().map_or_else(|| self.choose_router(), |(host, _)| *host);
        self.state.recorder.request_sent(id, service, router);
        let Some(mut client) = open_connection.map(|(_, client)| client).or_else(|| self.connect(router))
        else {
            self.state.recorder.request_ended(id, Ending::NotConnected);
            return CONNECT_RETRY_DELAY;
        };
        let ending = round_trip(&mut client, id, service);
        let is_open = matches!(ending, Ending::Answered { .. });
        self.state.recorder.request_ended(id, ending);
        // The connection is reused even if the router asks the client to close it.
        if is_open && !self.rng.random_bool(DISCONNECT_FRACTION) {
            self.connection = Some((router, client));
        }
        self.state.mean_pause
    }

    fn choose_router(&mut self) -> u8 {
        self.state.routers[self.rng.random_range(0..self.state.routers.len())].0
    }

    fn connect(&self, router: u8) -> Option<Client> {
        let (_, address) = self.state.routers.iter().find(|(host, _)| *host == router)?;
        Client::try_connect(*address)
    }
}

/// Sends a request on a connection, and checks that the response is complete and belongs to the request.
fn round_trip(client: &mut Client, id: u64, service: Service) -> Ending {
    let id = format!("{id:x}");
    let method = if service == Service::Safe { "GET" } else { "POST" };
    let bytes = request(&id, method, &format!("/{}/x", service.name()), "", b"");
    if client.try_write(&bytes).is_none() {
        return Ending::Unanswered;
    }
    let Some(head) = client.try_read_head() else { return Ending::Unanswered };
    let Ok(body) = client.read_body(&head) else { return Ending::Cut };
    let status = head.status;
    if status != 200 {
        return Ending::Answered { status };
    }
    let mismatched = |problem: String| Ending::Mixed { status, problem };
    if head.header("ivyhatch-server-stamp").is_none() {
        return mismatched("no stamp".to_owned());
    }
    if body != id.as_bytes() || head.header("ivyhatch-attempt-id") != Some(&id) {
        return mismatched(format!("the answer to {}", String::from_utf8_lossy(&body)));
    }
    Ending::Answered { status }
}
