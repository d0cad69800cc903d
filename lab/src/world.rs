//! What a world is made of.

use serde::{Deserialize, Serialize};

use crate::Nanos;

/// A world, as its file words it. Times without a unit in their name are seconds from the start.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct World {
    /// Its name, for reports.
    pub name: String,
    /// How long clients come.
    pub seconds: f64,
    /// Zones; nodes and servers are dealt out to them in turn.
    pub zones: u32,
    /// Instances of the decision module.
    pub nodes: u32,
    /// One way between two zones; a tenth of it within one.
    pub cross_ms: f64,
    /// Up to so much more for each message, by chance.
    #[serde(default)]
    pub jitter_ms: f64,
    /// The part of the messages that are lost on the way and come a fifth of a second later.
    #[serde(default)]
    pub loss: f64,
    /// Load reports come with each answer too, and not by probe alone.
    #[serde(default)]
    pub reports_on_answers: bool,
    /// The list of servers.
    pub discovery: DiscoverySettings,
    /// Who asks.
    pub clients: Workload,
    /// The servers, group by group; numbered through from 0.
    pub servers: Vec<ServerGroup>,
    /// What goes wrong.
    #[serde(rename = "trouble", default)] // wire name
    pub faults: Vec<Fault>,
}

/// How the list of servers reaches the nodes.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DiscoverySettings {
    /// A change is told so much later.
    pub lag_ms: u64,
    /// Up to so much later still, each node for itself; what a node is told keeps its order.
    #[serde(default)]
    pub jitter_ms: u64,
    /// The whole list is told again this often, in seconds; 0 for never.
    #[serde(rename = "whole_every", default)]
    pub full_list_interval_s: f64,
}

/// Who asks.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Requests a second over all nodes, without bursts; 0 where all clients are closed ones.
    pub rate: f64,
    /// Clients that ask again as soon as they have their answer, as a benchmark does.
    #[serde(rename = "closed", default)]
    pub closed_clients: u32,
    /// Which share of the clients comes to each zone's nodes; empty for all alike.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub zone_shares: Vec<f64>,
    /// Clients say of a repeat that it is one; else a node has to guess from how long they will wait.
    #[serde(rename = "marks_repeats", default)]
    pub marks_retries: bool,
    /// The part of the clients that leave early, at any time up to their deadline.
    #[serde(rename = "hang_up", default)]
    pub disconnect_ratio: f64,
    /// How often a client asks again after a refusal.
    #[serde(rename = "repeats")]
    pub retries: u32,
    /// How long it waits before, unless it is told when to come back.
    #[serde(rename = "repeat_after_ms")]
    pub retry_delay_ms: u64,
    /// What is asked.
    #[serde(rename = "class")]
    pub classes: Vec<RequestClass>,
    /// Whose requests they are; none for no tenants.
    #[serde(rename = "tenant", default, skip_serializing_if = "Vec::is_empty")]
    pub tenants: Vec<Tenant>,
}

/// Longest pause that a client honours.
pub(crate) const LONGEST_PAUSE: Nanos = 2_000_000_000;
/// A client that finds no node, or whose node dies, and a closed one that failed, comes back after this time.
pub const RECONNECT_DELAY: Nanos = 100_000_000;

impl Workload {
    /// How long a client waits before it asks again, where it was told to wait for so long.
    pub fn pause(&self, told: Nanos) -> Nanos {
        told.min(LONGEST_PAUSE).max(self.retry_delay_ms * 1_000_000)
    }

    /// The zone of each closed client, dealt out by the zones' shares.
    pub fn closed_zones(&self, zones: u32) -> Vec<u32> {
        let even = vec![1.0; zones as usize];
        let shares = if self.zone_shares.is_empty() { &even } else { &self.zone_shares };
        let sum: f64 = shares.iter().sum();
        let (mut dealt, mut upto) = (Vec::new(), 0.0);
        for (zone, share) in (0..).zip(shares) {
            upto += share / sum * f64::from(self.closed_clients);
            dealt.resize((upto.round() as usize).max(dealt.len()), zone);
        }
        dealt
    }
}

/// Whose requests come.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its share of the requests; shares count against their sum.
    pub share: f64,
    /// Requests a second, over all nodes, that it is entitled to.
    pub quota: f64,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Its share of the requests; shares count against their sum.
    pub share: f64,
    /// Work on a core of speed 1, on the mean.
    pub work_ms: f64,
    /// What an answer waits for elsewhere, on the mean; load adds nothing to it.
    #[serde(rename = "elsewhere_ms")]
    pub downstream_ms: f64,
    /// An answer within this time counts.
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: u64,
    /// The client gives up after this time.
    pub deadline_ms: u64,
    /// Worth of one.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Must not run twice.
    #[serde(rename = "once")]
    pub non_idempotent: bool,
}

impl RequestClass {
    /// How long a client of this class stays with one try, by a number drawn from 0 to 1.
    pub fn patience(&self, drawn: f64) -> Nanos {
        (self.deadline_ms as f64 * (0.7 + 0.3 * drawn)) as Nanos * 1_000_000
    }
}

/// Servers that are alike.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// How many.
    pub count: u32,
    /// Cores of each.
    pub cores: u32,
    /// Speed of a core.
    pub speed: f64,
    /// It stops work that nobody waits for any more.
    #[serde(rename = "cancels", default)]
    pub cancels_abandoned_work: bool,
    /// The part of its answers that are errors.
    #[serde(rename = "errors", default)]
    pub error_ratio: f64,
    /// Connections that it takes at a time; 0 for any number.
    #[serde(default)]
    pub connections: u32,
    /// Work of a new connection's handshake.
    #[serde(default)]
    pub handshake_ms: f64,
    /// Work of answering a probe.
    #[serde(default = "default_probe_ms")]
    pub probe_ms: f64,
    /// Requests that may wait for each core; more are sent away.
    #[serde(rename = "queue", default = "default_queue_per_core")]
    pub queue_per_core: u32,
    /// It turns several times slower when many wait for a while.
    #[serde(rename = "chokes", default = "degrades_by_default")]
    pub degrades_under_backlog: bool,
}

fn default_probe_ms() -> f64 {
    4.0
}

fn default_queue_per_core() -> u32 {
    12
}

fn degrades_by_default() -> bool {
    true
}

impl Default for ServerGroup {
    fn default() -> Self {
        Self {
            count: 1,
            cores: 1,
            speed: 1.0,
            cancels_abandoned_work: false,
            error_ratio: 0.0,
            connections: 0,
            handshake_ms: 0.0,
            probe_ms: default_probe_ms(),
            queue_per_core: default_queue_per_core(),
            degrades_under_backlog: degrades_by_default(),
        }
    }
}

/// Something that goes wrong from one time to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// From when.
    #[serde(rename = "from")]
    pub start_s: f64,
    /// Until when.
    #[serde(rename = "to")]
    pub end_s: f64,
    /// Which servers it strikes.
    #[serde(default)]
    pub servers: Vec<u32>,
    /// Which nodes it strikes.
    #[serde(default)]
    pub nodes: Vec<u32>,
    /// Which zone it strikes.
    #[serde(default)]
    pub zone: u32,
    /// Whose requests a burst brings, by the tenant's number; without one, everybody's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<u32>,
    /// The part of the machine that a neighbour takes, of the answers that are errors, of the messages that are lost.
    #[serde(rename = "part", default)]
    pub fraction: f64,
    /// How many times the usual rate a burst brings.
    #[serde(rename = "times", default)]
    pub rate_multiplier: f64,
    /// How much farther a zone is, one way.
    #[serde(rename = "ms", default)]
    pub added_latency_ms: f64,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Another program takes a part of some servers.
    #[serde(rename = "neighbour")]
    NoisyNeighbour,
    /// Some servers answer each request, and each probe, that they have room and refuse the request.
    #[serde(rename = "liar")]
    FalseReadiness,
    /// Some servers drain, and leave at the end of it.
    Drain,
    /// Some servers are gone, and come back cold.
    Restart,
    /// A zone is cut off from the others.
    #[serde(rename = "zone_cut")]
    ZonePartition,
    /// More requests come.
    Burst,
    /// A part of some servers' answers are errors.
    Errors,
    /// Some servers take requests and probes and never answer.
    Hang,
    /// Some servers answer requests and no probe.
    #[serde(rename = "deaf")]
    ProbeTimeout,
    /// A zone is farther away from the others.
    #[serde(rename = "far")]
    AddedLatency,
    /// Messages to and from a zone are lost, and come a fifth of a second later.
    #[serde(rename = "lossy")]
    PacketLoss,
    /// No list is told, and calls for one fail.
    #[serde(rename = "list_down")]
    DiscoveryDown,
    /// Whole lists show what was true at its beginning, as from a replica that lags; changes are told all the same.
    #[serde(rename = "list_stale")]
    DiscoveryStale,
    /// Some nodes die with all that they hold, and come back knowing nothing.
    NodeCrash,
    /// Some nodes take nothing new and finish what they have, and come back knowing nothing.
    #[serde(rename = "node_stop")]
    NodeShutdown,
}

impl FaultKind {
    /// All of them.
    pub const ALL: [Self; 15] = [
        Self::NoisyNeighbour,
        Self::FalseReadiness,
        Self::Drain,
        Self::Restart,
        Self::ZonePartition,
        Self::Burst,
        Self::Errors,
        Self::Hang,
        Self::ProbeTimeout,
        Self::AddedLatency,
        Self::PacketLoss,
        Self::DiscoveryDown,
        Self::DiscoveryStale,
        Self::NodeCrash,
        Self::NodeShutdown,
    ];
}

/// A world that can't be played.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// Its text is no world; says where.
    #[error("{0}")]
    Text(#[from] toml::de::Error),
    /// A figure is out of range.
    #[error("{}{field}: {value}: {wanted}", .line.map(|line| format!("line {line}: ")).unwrap_or_default())]
    Field {
        /// The line that it stands on, from 1; none where the field is not written or the world came from no text.
        line: Option<usize>,
        /// Which, as a path into the file, entries counted from 0.
        field: String,
        /// What it is.
        value: String,
        /// What would be right.
        wanted: &'static str,
    },
}

/// The line on which the field of a path such as `clients.class[0].aim_ms` stands.
fn line_of(text: &str, path: &str) -> Option<usize> {
    let document = toml_edit::Document::parse(text).ok()?;
    let mut item = document.as_item();
    for step in path.split('.') {
        let (key, entry) = match step.split_once('[') {
            Some((key, number)) => (key, number.trim_end_matches(']').parse::<usize>().ok()),
            None => (step, None),
        };
        // A field that is missing is looked for where its table stands.
        let Some(next) = item.get(key) else { break };
        item = match entry {
            Some(number) => next.get(number)?,
            None => next,
        };
    }
    let at = item.span()?.start;
    Some(text.get(..at)?.matches('\n').count() + 1)
}

/// Checks a field's value against its least and most, and says what is wanted.
type Within<'a> = dyn Fn(&str, f64, f64, f64, &'static str) -> Result<(), WorldError> + 'a;

impl World {
    /// Reads and checks a world.
    ///
    /// # Errors
    /// Where the text is not TOML, a field is unknown, missing or of the wrong type (with line and column), or a
    /// figure is out of range (with line, field and what would be right).
    pub fn read(text: &str) -> Result<Self, WorldError> {
        let world: Self = toml::from_str(text)?;
        world.check().map_err(|error| match error {
            WorldError::Field { field, value, wanted, .. } => {
                WorldError::Field { line: line_of(text, &field), field, value, wanted }
            }
            text => text,
        })?;
        Ok(world)
    }

    /// The world as a file words it.
    ///
    /// # Panics
    /// Never: each part of a world has a place in TOML.
    pub fn write(&self) -> String {
        toml::to_string(self).expect("a world has a form in TOML")
    }

    /// Checks each figure.
    ///
    /// # Errors
    /// The first figure that is out of range.
    pub fn check(&self) -> Result<(), WorldError> {
        let fail = |field: String, value: &dyn std::fmt::Display, wanted| {
            Err(WorldError::Field { line: None, field, value: value.to_string(), wanted })
        };
        let within =
            |field: &str, value: f64, least: f64, most: f64, wanted| match (least..=most).contains(&value) {
                true => Ok(()),
                false => fail(field.to_owned(), &value, wanted),
            };
        const TINY: f64 = f64::MIN_POSITIVE;
        within("seconds", self.seconds, TINY, 86_400.0, "above 0, a day at most")?;
        within("zones", self.zones.into(), 1.0, 1000.0, "1 to 1000")?;
        within("nodes", self.nodes.into(), 1.0, 10_000.0, "1 to 10000")?;
        within("cross_ms", self.cross_ms, 0.0, 10_000.0, "0 to 10000")?;
        within("jitter_ms", self.jitter_ms, 0.0, 10_000.0, "0 to 10000")?;
        within("loss", self.loss, 0.0, 0.5, "0 to 0.5")?;
        within("discovery.lag_ms", self.discovery.lag_ms as f64, 0.0, 3.6e6, "an hour at most")?;
        within("discovery.jitter_ms", self.discovery.jitter_ms as f64, 0.0, 3.6e6, "an hour at most")?;
        within("discovery.whole_every", self.discovery.full_list_interval_s, 0.0, 86_400.0, "0 to 86400")?;
        self.check_clients(&within)?;
        let count: u64 = self.servers.iter().map(|group| u64::from(group.count)).sum();
        if count > 100_000 {
            return fail("servers".into(), &count, "100000 in all at most");
        }
        for (number, group) in self.servers.iter().enumerate() {
            let field = |name: &str| format!("servers[{number}].{name}");
            within(&field("cores"), group.cores.into(), 1.0, 1024.0, "1 to 1024")?;
            within(&field("speed"), group.speed, TINY, 1e6, "above 0")?;
            within(&field("errors"), group.error_ratio, 0.0, 1.0, "0 to 1")?;
            within(&field("handshake_ms"), group.handshake_ms, 0.0, 10_000.0, "0 to 10000")?;
            within(&field("probe_ms"), group.probe_ms, 0.0, 10_000.0, "0 to 10000")?;
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let field = |name: &str| format!("trouble[{number}].{name}");
            if !(0.0..fault.end_s).contains(&fault.start_s) {
                return fail(field("from"), &fault.start_s, "from 0, before to");
            }
            within(&field("to"), fault.end_s, 0.0, 1e6, "a million seconds at most")?;
            if let Some(server) = fault.servers.iter().find(|server| u64::from(**server) >= count) {
                return fail(field("servers"), server, "the number of a server, from 0");
            }
            if let Some(node) = fault.nodes.iter().find(|node| **node >= self.nodes) {
                return fail(field("nodes"), node, "the number of a node, from 0");
            }
            if let Some(tenant) = fault.tenant.filter(|tenant| *tenant as usize >= self.clients.tenants.len())
            {
                return fail(field("tenant"), &tenant, "the number of a tenant, from 0");
            }
            if fault.zone >= self.zones {
                return fail(field("zone"), &fault.zone, "the number of a zone, from 0");
            }
            match fault.kind {
                FaultKind::NoisyNeighbour => {
                    within(&field("part"), fault.fraction, 0.0, 0.999, "0 up to 0.999")?
                }
                FaultKind::Errors => within(&field("part"), fault.fraction, 0.0, 1.0, "0 to 1")?,
                FaultKind::PacketLoss => within(&field("part"), fault.fraction, 0.0, 0.5, "0 to 0.5")?,
                FaultKind::Burst => {
                    within(&field("times"), fault.rate_multiplier, TINY, 1000.0, "above 0, 1000 at most")?
                }
                FaultKind::AddedLatency => {
                    within(&field("ms"), fault.added_latency_ms, 0.0, 10_000.0, "0 to 10000")?
                }
                _ => {}
            }
        }
        Ok(())
    }

    fn check_clients(&self, within: &Within) -> Result<(), WorldError> {
        const TINY: f64 = f64::MIN_POSITIVE;
        let clients = &self.clients;
        let least = if clients.closed_clients == 0 { TINY } else { 0.0 };
        within("clients.rate", clients.rate, least, 1e7, "above 0, or 0 with closed clients")?;
        within("clients.closed", clients.closed_clients.into(), 0.0, 1e6, "a million at most")?;
        within("clients.hang_up", clients.disconnect_ratio, 0.0, 1.0, "0 to 1")?;
        within("clients.class", clients.classes.len() as f64, 1.0, 1000.0, "1 to 1000 of them")?;
        let shares = clients.zone_shares.len();
        if shares > 0 {
            let zones = f64::from(self.zones);
            within("clients.zone_shares", shares as f64, zones, zones, "one for each zone")?;
            let worst = clients.zone_shares.iter().copied().fold(0.0, f64::min);
            within("clients.zone_shares", worst, 0.0, 0.0, "none under 0")?;
            within("clients.zone_shares", clients.zone_shares.iter().sum(), TINY, 1e12, "a sum above 0")?;
        }
        for (number, class) in clients.classes.iter().enumerate() {
            let field = |name: &str| format!("clients.class[{number}].{name}");
            within(&field("share"), class.share, TINY, 1e9, "above 0")?;
            within(&field("work_ms"), class.work_ms, TINY, 1e6, "above 0")?;
            within(&field("worth"), class.value, TINY, 1e9, "above 0")?;
            within(&field("elsewhere_ms"), class.downstream_ms, 0.0, 60_000.0, "0 to 60000")?;
            let (aim, deadline) = (class.latency_target_ms as f64, class.deadline_ms as f64);
            within(&field("deadline_ms"), deadline, 1.0, 3.6e6, "above 0, an hour at most")?;
            within(&field("aim_ms"), aim, 1.0, deadline, "above 0, at most deadline_ms")?;
        }
        for (number, tenant) in clients.tenants.iter().enumerate() {
            let field = |name: &str| format!("clients.tenant[{number}].{name}");
            within(&field("share"), tenant.share, TINY, 1e9, "above 0")?;
            within(&field("quota"), tenant.quota, 0.0, 1e9, "0 or more")?;
        }
        Ok(())
    }

    /// The servers' groups, one entry a server.
    pub(crate) fn each_server(&self) -> impl Iterator<Item = ServerGroup> + '_ {
        self.servers.iter().flat_map(|group| std::iter::repeat_n(*group, group.count as usize))
    }
}

impl Fault {
    /// A trouble of this kind and time that strikes nobody yet.
    pub fn new(kind: FaultKind, start_s: f64, end_s: f64) -> Self {
        let (servers, nodes) = (Vec::new(), Vec::new());
        Self {
            kind,
            start_s,
            end_s,
            servers,
            nodes,
            zone: 0,
            tenant: None,
            fraction: 0.5,
            rate_multiplier: 2.0,
            added_latency_ms: 20.0,
        }
    }

    /// From when until when, from the world's start.
    pub fn span(&self) -> (Nanos, Nanos) {
        (seconds(self.start_s), seconds(self.end_s))
    }
}

pub(crate) fn seconds(seconds: f64) -> Nanos {
    (seconds * 1e9) as Nanos
}

pub(crate) fn millis(millis: f64) -> Nanos {
    (millis * 1e6) as Nanos
}
