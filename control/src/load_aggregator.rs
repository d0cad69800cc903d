//! Sums up the load that routers put on model servers. Each router gets the sum without its own share.
//!
//! Each router reports to one control node; control nodes send each other the sums over their own routers. These loads are neither
//! decided by consensus nor stored: a lost report is replaced within a tenth of a second.

use std::collections::{BTreeMap, HashMap};

use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::load_exchange::ServerLoad;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// How long a report counts: four report intervals of a router.
const REPORT_LIFETIME: Nanos = 400 * MILLISECOND;
/// How long a report of another region's servers counts: two and a half intervals of such reports.
const REMOTE_REPORT_LIFETIME: Nanos = 2500 * MILLISECOND;

/// The load at one server, summed over several senders.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    queued_tokens: u64,
    in_flight: u32,
}

impl From<&ServerLoad> for Total {
    fn from(load: &ServerLoad) -> Self {
        Self { queued_tokens: load.queued_tokens(), in_flight: u32::from(load.in_flight) }
    }
}

impl Total {
    fn add(&mut self, other: Self) {
        self.queued_tokens += other.queued_tokens;
        self.in_flight += other.in_flight;
    }

    fn subtract(&mut self, other: Self) {
        self.queued_tokens = self.queued_tokens.saturating_sub(other.queued_tokens);
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
    }

    fn is_zero(&self) -> bool {
        self.queued_tokens == 0 && self.in_flight == 0
    }
}

/// The last report of a sender.
#[derive(Debug)]
struct Report {
    loads: Vec<ServerLoad>,
    received_at: Nanos,
}

/// The reports of a group of senders, and their sum.
#[derive(Debug)]
struct Reports {
    lifetime: Nanos,
    by_sender: BTreeMap<NodeId, Report>,
    /// The sum of all reports, by the key of the server.
    totals: HashMap<u32, Total>,
}

impl Reports {
    fn new(lifetime: Nanos) -> Self {
        Self { lifetime, by_sender: BTreeMap::new(), totals: HashMap::new() }
    }

    /// Adds the report of a sender that has no report here.
    fn insert(&mut self, now: Nanos, sender: NodeId, loads: Vec<ServerLoad>) {
        for load in &loads {
            self.totals.entry(load.server).or_default().add(load.into());
        }
        self.by_sender.insert(sender, Report { loads, received_at: now });
    }

    fn remove(&mut self, sender: NodeId) {
        if let Some(report) = self.by_sender.remove(&sender) {
            self.subtract(&report);
        }
    }

    fn expire(&mut self, now: Nanos) {
        let lifetime = self.lifetime;
        let is_expired = |report: &Report| now >= report.received_at + lifetime;
        let expired = self.by_sender.extract_if(.., |_, report| is_expired(report));
        let expired: Vec<Report> = expired.map(|(_, report)| report).collect();
        for report in expired {
            self.subtract(&report);
        }
    }

    fn subtract(&mut self, report: &Report) {
        for load in &report.loads {
            let Some(total) = self.totals.get_mut(&load.server) else { continue };
            total.subtract(load.into());
            if total.is_zero() {
                self.totals.remove(&load.server);
            }
        }
    }
}

/// The loads that one control node knows.
#[derive(Debug)]
pub struct LoadAggregator {
    routers: Reports,
    control_nodes: Reports,
    /// Reports of control nodes of other regions on the servers of their own regions.
    remote_regions: Reports,
}

impl Default for LoadAggregator {
    fn default() -> Self {
        Self {
            routers: Reports::new(REPORT_LIFETIME),
            control_nodes: Reports::new(REPORT_LIFETIME),
            remote_regions: Reports::new(REMOTE_REPORT_LIFETIME),
        }
    }
}

impl LoadAggregator {
    /// Records a router's report, and returns the load that all other routers have at the servers.
    pub fn record_report(&mut self, now: Nanos, router: NodeId, loads: Vec<ServerLoad>) -> Vec<ServerLoad> {
        self.expire(now);
        self.routers.remove(router);
        let mut others = self.routers.totals.clone();
        for (server, total) in self.control_nodes.totals.iter().chain(&self.remote_regions.totals) {
            others.entry(*server).or_default().add(*total);
        }
        self.routers.insert(now, router, loads);
        server_loads(&others)
    }

    /// Records the sum over another control node's routers.
    pub fn record_exchange(&mut self, now: Nanos, control_node: NodeId, loads: Vec<ServerLoad>) {
        self.control_nodes.remove(control_node);
        self.control_nodes.insert(now, control_node, loads);
    }

    /// Records the load that the routers of a control node of another region have at the servers of that region.
    pub fn record_remote_exchange(&mut self, now: Nanos, control_node: NodeId, loads: Vec<ServerLoad>) {
        self.remote_regions.remove(control_node);
        self.remote_regions.insert(now, control_node, loads);
    }

    /// The sum over the routers that report to this node, for the other control nodes.
    pub fn local_sum(&mut self, now: Nanos) -> Vec<ServerLoad> {
        self.expire(now);
        server_loads(&self.routers.totals)
    }

    fn expire(&mut self, now: Nanos) {
        self.routers.expire(now);
        self.control_nodes.expire(now);
        self.remote_regions.expire(now);
    }
}

fn server_loads(totals: &HashMap<u32, Total>) -> Vec<ServerLoad> {
    let loaded = totals.iter().filter(|(_, total)| !total.is_zero());
    loaded.map(|(server, total)| ServerLoad::new(*server, total.queued_tokens, total.in_flight)).collect()
}
