//! Where a request of one service may go, and what it would meet there: homes, cold servers, and model servers' queues. This is
//! what the design is advised by; which region and which server it is, the design decides.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use ivyhatch_balancer::{Advice, BackendId, RequestId};
use ivyhatch_protocol::ids::hash_mix;
use ivyhatch_protocol::{MILLISECOND, Nanos};

use crate::prefix_cache::{PrefixCache, Prompt};
use crate::router_share::RouterShare;
use crate::time_to_first_token::{LoadReport, PrefillModel, ServerQueue};

/// The span in which a cold server's sends are counted: a second, and a tenth for sends that are held up on the way.
const COLD_SPAN: Nanos = 1100 * MILLISECOND;
/// Part of the cold bound that is used; the rest is for routers that are not known of yet.
const COLD_PART: f64 = 0.85;
/// A prompt may wait for so many times its aim at a server that this router has sent to; beyond that it goes elsewhere or not at
/// all.
const PATIENCE: f64 = 1.25;

/// A server that could not be reached is left alone for so long; twice as long each time, up to 2^4.
const UNREACHED: Nanos = 250 * MILLISECOND;

/// Weight of the time for which a prompt's shared parts would be read again, against waiting: it is waited for by others as well.
const READ_AGAIN: f64 = 4.0;

/// Regions as bits; the deployment's regions are numbered.
pub type RegionSet = u64;

/// What a service's servers bear while they are cold.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartLimit {
    /// Requests a second, over all routers; 0 where there is no bound.
    pub requests_per_second: f64,
    /// A server may be cold for so long after an evacuation has been withdrawn.
    pub duration: Nanos,
}

/// What the configuration says of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSettings {
    /// Whether its servers run a language model, so that requests are placed by their time to the first token.
    pub is_model: bool,
    /// The limit on servers in slow start.
    pub slow_start: SlowStartLimit,
}

/// A server as the server list has it.
#[derive(Clone, Copy, Debug)]
pub struct ListedServer<'a> {
    /// Its id in the server list.
    pub name: &'a str,
    /// Index of its region.
    pub region: u32,
    /// End of its slow start; 0 where it is over.
    pub slow_start_until: Nanos,
    /// Its zone was evacuated when the router last had contact with a quorum: it is used, within the limits of slow start, only
    /// where no other server can be reached.
    pub is_last_resort: bool,
}

#[derive(Debug, Default)]
struct Server {
    region: u32,
    lot: u64,
    cold_until: Nanos,
    sends: VecDeque<Nanos>,
    engine: ServerQueue,
    kept: PrefixCache,
    /// Times in a row that it could not be reached, and until when it is left alone for that.
    unreached: u32,
    left_until: Nanos,
    last_resort: bool,
}

#[derive(Debug)]
struct Asked {
    homes: RegionSet,
    prompt: Prompt,
    aim: Nanos,
    /// In each region the server at which the prompt's shared part is looked for first.
    first: Vec<Option<BackendId>>,
    sent: Option<(BackendId, u32, bool)>,
}

/// One service's servers, as a router sees them.
#[derive(Debug)]
pub struct Placement {
    home: u32,
    regions: u32,
    is_model: bool,
    cold: SlowStartLimit,
    /// Routers that share the servers, and the place among them; none as long as that is not known.
    routers: Option<(u64, u64)>,
    speed: PrefillModel,
    servers: HashMap<BackendId, Server>,
    requests: HashMap<RequestId, Asked>,
}

/// A placement that the design and its embedder share.
#[derive(Clone)]
pub struct SharedPlacement(pub Rc<RefCell<Placement>>);

impl Placement {
    /// For a router in region `home` of so many.
    pub fn new(home: u32, regions: u32) -> Self {
        Self {
            home,
            regions,
            is_model: false,
            cold: SlowStartLimit::default(),
            routers: None,
            speed: PrefillModel::new(regions),
            servers: HashMap::new(),
            requests: HashMap::new(),
        }
    }

    /// What the configuration says of the service.
    pub fn configure(&mut self, settings: ServiceSettings) {
        (self.is_model, self.cold) = (settings.is_model, settings.slow_start);
    }

    /// So many routers share what cold servers bear, and this is one's place among them.
    pub fn set_router_share(&mut self, share: RouterShare) {
        self.routers = Some((u64::from(share.count.max(1)), u64::from(share.index)));
    }

    /// Adds a server of the server list, or updates it. A slow start that is known of is not shortened.
    pub fn upsert_server(&mut self, id: BackendId, listed: ListedServer<'_>) {
        let server = self.servers.entry(id).or_default();
        server.region = listed.region;
        server.lot = ivyhatch_protocol::ids::fnv1a_hash(listed.name.as_bytes());
        server.cold_until = server.cold_until.max(listed.slow_start_until);
        server.last_resort = listed.is_last_resort;
    }

    /// A server may have turned cold just now.
    pub fn restart_slow_start(&mut self, now: Nanos, id: BackendId) {
        let span = self.cold.duration;
        if let Some(server) = self.servers.get_mut(&id) {
            server.cold_until = server.cold_until.max(now + span);
        }
    }

    /// A server has gone.
    pub fn remove_server(&mut self, id: BackendId) {
        self.servers.remove(&id);
    }

    /// A request comes in.
    pub fn add_request(&mut self, request: RequestId, homes: RegionSet, prompt: Prompt, aim: Nanos) {
        let mut first = vec![None; self.regions as usize];
        if let Some(shared) = prompt.affinity_key() {
            let mut best = vec![0; first.len()];
            for (id, server) in &self.servers {
                let at = server.region as usize;
                let lot = hash_mix(server.lot ^ shared).max(1);
                if at < best.len() && lot > best[at] {
                    (best[at], first[at]) = (lot, Some(*id));
                }
            }
        }
        self.requests.insert(request, Asked { homes, prompt, aim, first, sent: None });
    }

    /// A request has ended.
    pub fn remove_request(&mut self, request: RequestId) {
        self.end_attempt(request);
        self.requests.remove(&request);
    }

    fn sent(&mut self, now: Nanos, request: RequestId, to: BackendId) {
        let unread = self.unread(now, request, to);
        let Some(server) = self.servers.get_mut(&to) else { return };
        server.sends.push_back(now);
        if server.unreached > 0 {
            server.left_until = server.left_until.max(now + UNREACHED);
        }
        while server.sends.front().is_some_and(|at| now >= at + COLD_SPAN) {
            server.sends.pop_front();
        }
        if let Some(asked) = self.requests.get_mut(&request) {
            server.engine.sent(unread);
            asked.sent = Some((to, unread, false));
        }
    }

    /// What a server says of itself with an answer.
    pub fn record_load_report(&mut self, now: Nanos, from: BackendId, load: LoadReport) {
        if let Some(server) = self.servers.get_mut(&from) {
            server.engine.told(now, load);
        }
    }

    /// A request's answer has begun, this long after it was sent.
    pub fn record_first_token(&mut self, now: Nanos, request: RequestId, took: Nanos) {
        let Some(asked) = self.requests.get_mut(&request) else { return };
        let Some((to, unread, begun @ false)) = &mut asked.sent else { return };
        *begun = true;
        if let Some(server) = self.servers.get_mut(to) {
            server.engine.begun(*unread);
            server.engine.learn(&mut self.speed, server.region, *unread, took);
            server.kept.read(now, &asked.prompt);
        }
    }

    /// A server could not be reached. It is left alone for a while, then tried by one request at a time.
    pub fn record_connect_failure(&mut self, now: Nanos, of: BackendId) {
        if let Some(server) = self.servers.get_mut(&of) {
            server.left_until = now + (UNREACHED << server.unreached.min(4));
            server.unreached += 1;
        }
    }

    /// A server has answered.
    pub fn record_response(&mut self, of: BackendId) {
        if let Some(server) = self.servers.get_mut(&of) {
            (server.unreached, server.left_until) = (0, 0);
        }
    }

    /// A request's attempt has ended.
    pub fn end_attempt(&mut self, request: RequestId) {
        let Some(asked) = self.requests.get_mut(&request) else { return };
        let Some((to, unread, begun)) = asked.sent.take() else { return };
        if let Some(server) = self.servers.get_mut(&to) {
            if !begun {
                server.engine.begun(unread);
            }
            server.engine.ended();
        }
    }

    /// What was known of a request's server when it was sent there, for people.
    pub fn describe_attempt(&self, request: RequestId) -> Option<String> {
        let asked = self.requests.get(&request)?;
        let (to, unread, _) = asked.sent?;
        let server = self.servers.get(&to)?;
        let first = asked.first.get(server.region as usize).copied().flatten() == Some(to);
        Some(format!(
            "tokens={} unread={unread} kept_there={first} region={} own={} utilisation={:.2}",
            asked.prompt.tokens,
            server.region,
            server.engine.own(),
            server.engine.utilisation(&self.speed)
        ))
    }

    /// A server's utilisation, where it is a model's.
    pub fn utilisation(&self, of: BackendId) -> Option<f64> {
        let server = self.servers.get(&of).filter(|_| self.is_model)?;
        Some(server.engine.utilisation(&self.speed))
    }

    /// Requests a second that this router may send to a cold server. The shares of all routers come to the whole, and no more: what
    /// can't be divided goes to some of them, to others for each server. One that does not know how many there are sends nothing.
    fn cold_share(&self, server: &Server) -> usize {
        let Some((routers, place)) = self.routers else { return 0 };
        let whole = (self.cold.requests_per_second * COLD_PART) as u64;
        let turn = (place + server.lot % routers) % routers;
        (whole / routers + u64::from(turn < whole % routers)) as usize
    }

    fn unread(&self, now: Nanos, request: RequestId, to: BackendId) -> u32 {
        let (Some(asked), Some(server)) = (self.requests.get(&request), self.servers.get(&to)) else {
            return 0;
        };
        let own = server.kept.unread(now, &asked.prompt);
        // Others have sent the like there, if they look for it where this router does.
        let first = asked.first.get(server.region as usize).copied().flatten() == Some(to);
        if first { own.min(asked.prompt.own()) } else { own }
    }
}

impl Advice for SharedPlacement {
    fn sent(&self, now: Nanos, request: RequestId, backend: BackendId) {
        self.0.borrow_mut().sent(now, request, backend);
    }

    fn allows(&self, now: Nanos, request: RequestId, backend: BackendId) -> bool {
        let placement = self.0.borrow();
        let Some(server) = placement.servers.get(&backend) else { return false };
        let Some(asked) = placement.requests.get(&request) else { return true };
        if server.region < 64 && asked.homes & (1 << server.region) == 0 {
            return false;
        }
        if now < server.left_until {
            return false;
        }
        if server.last_resort {
            let can = |other: &Server| {
                !other.last_resort
                    && other.unreached == 0
                    && (other.region >= 64 || asked.homes & (1 << other.region) != 0)
            };
            if placement.servers.values().any(can) {
                return false;
            }
        }
        if (now < server.cold_until || server.last_resort) && placement.cold.requests_per_second > 0.0 {
            let recent = server.sends.iter().filter(|at| now < *at + COLD_SPAN).count();
            if recent >= placement.cold_share(server) {
                return false;
            }
        }
        if !placement.is_model || server.engine.own() == 0 {
            return true;
        }
        let unread = placement.unread(now, request, backend);
        server.engine.delay(now, &placement.speed, server.region, unread) <= PATIENCE * asked.aim as f64
    }

    fn delay(&self, now: Nanos, request: RequestId, backend: BackendId) -> Option<f64> {
        let placement = self.0.borrow();
        let server = placement.servers.get(&backend).filter(|_| placement.is_model)?;
        let unread = placement.unread(now, request, backend);
        let last = placement.requests.get(&request).map_or(unread, |asked| asked.prompt.own());
        // What others have read already is work done twice: it weighs more than the time that it takes.
        let again = READ_AGAIN * placement.speed.reading(unread.saturating_sub(last));
        Some(server.engine.delay(now, &placement.speed, server.region, unread) + again)
    }

    fn may_stay(&self, request: RequestId) -> bool {
        let placement = self.0.borrow();
        let asked = placement.requests.get(&request);
        asked.is_none_or(|asked| placement.home >= 64 || asked.homes & (1 << placement.home) != 0)
    }
}
