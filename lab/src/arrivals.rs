//! The arrival process: which requests clients send, and when. The process depends only on the world and the seed, not
//! on nodes or servers, so that a simulation and a run on sockets have the same clients.

use crate::random::RandomStream;
use crate::time::{Nanos, nanos_from_seconds};
use crate::world::{FaultKind, World};

/// Divided by a rate per second, gives the mean time between arrivals in nanoseconds.
const NANOS_PER_SECOND: f64 = 1e9;

/// The request of one client.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When the client first sends the request, since the start of the world.
    pub arrives_at: Nanos,
    /// Number of the zone whose nodes the client prefers.
    pub zone: u32,
    /// The tenant's number; `None` in a world without tenants.
    pub tenant: Option<u32>,
    /// Index of the request's class in [`Workload::classes`](crate::Workload::classes).
    pub class: usize,
    /// Nanoseconds of work on a core of speed 1.
    pub work: f64,
    /// Time that the response waits for downstream services, independent of the server's load.
    pub downstream_wait: Nanos,
    /// When the client disconnects before a response, as a fraction of its timeout; `None` if it waits for the response.
    pub disconnect_fraction: Option<f64>,
}

/// The open-loop requests of a world, in the order of their arrival.
pub struct Arrivals<'a> {
    world: &'a World,
    next_at: Nanos,
    times: RandomStream,
    zones: RandomStream,
    work: RandomStream,
    disconnects: RandomStream,
    tenants: RandomStream,
}

/// Draws an index; each has a probability in proportion to its weight.
fn weighted_index(stream: &mut RandomStream, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut remaining = stream.unit() * weights.clone().sum::<f64>();
    let last = weights.clone().count().saturating_sub(1);
    let mut weights = weights;
    let found = weights.position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    found.unwrap_or(last)
}

impl<'a> Arrivals<'a> {
    /// The arrivals of a world for one seed, from the world's start.
    pub fn new(world: &'a World, seed: u64) -> Self {
        let stream = |purpose| RandomStream::new(seed, purpose, 0);
        Self {
            world,
            next_at: 0,
            times: stream("arrivals"),
            zones: stream("zones"),
            work: stream("work"),
            disconnects: stream("hang-ups"),
            tenants: stream("tenants"),
        }
    }

    /// The product of the rate multipliers of the bursts that are active at a time: of one tenant's bursts, or, if `tenant` is
    /// `None`, of those that affect all requests.
    fn burst_multiplier(&self, tenant: Option<u32>, at: Nanos) -> f64 {
        let bursts =
            self.world.faults.iter().filter(|fault| fault.kind == FaultKind::Burst && fault.tenant == tenant);
        let active = bursts.filter(|fault| fault.period().contains(&at));
        active.map(|fault| fault.rate_multiplier).product()
    }

    /// The tenants' weights at a time, including active bursts.
    fn tenant_weights(&self, at: Nanos) -> impl Iterator<Item = f64> + Clone + '_ {
        let tenants = self.world.clients.tenants.iter().zip(0..);
        tenants.map(move |(tenant, number)| tenant.share * self.burst_multiplier(Some(number), at))
    }

    fn draw_zone(&mut self) -> u32 {
        let zone_shares = &self.world.clients.zone_shares;
        if zone_shares.is_empty() {
            return (self.zones.unit() * f64::from(self.world.zones)) as u32;
        }
        weighted_index(&mut self.zones, zone_shares.iter().copied()) as u32
    }

    /// Draws the request of a client that arrives at a time. If `zone` is `None`, the client's zone is drawn in proportion to
    /// the zones' shares.
    pub fn draw(&mut self, arrives_at: Nanos, zone: Option<u32>) -> ClientRequest {
        let clients = &self.world.clients;
        let tenant_weights: Vec<f64> = self.tenant_weights(arrives_at).collect();
        let zone = zone.unwrap_or_else(|| self.draw_zone());
        let tenant = (!tenant_weights.is_empty())
            .then(|| weighted_index(&mut self.tenants, tenant_weights.iter().copied()) as u32);
        let class = weighted_index(&mut self.work, clients.classes.iter().map(|class| class.share));
        let settings = &clients.classes[class];
        let work = self.work.around(settings.work_ms * 1e6);
        let downstream_wait = self.work.around(settings.downstream_ms * 1e6) as Nanos;
        let disconnects =
            clients.disconnect_ratio > 0.0 && self.disconnects.unit() < clients.disconnect_ratio;
        let disconnect_fraction = disconnects.then(|| self.disconnects.unit());
        ClientRequest { arrives_at, zone, tenant, class, work, downstream_wait, disconnect_fraction }
    }

    /// Requests per second at a time, including active bursts.
    fn rate_at(&self, at: Nanos) -> f64 {
        let clients = &self.world.clients;
        let usual_weight: f64 = clients.tenants.iter().map(|tenant| tenant.share).sum();
        let tenant_multiplier = match clients.tenants.is_empty() {
            true => 1.0,
            false => self.tenant_weights(at).sum::<f64>() / usual_weight,
        };
        clients.rate * self.burst_multiplier(None, at) * tenant_multiplier
    }
}

impl Iterator for Arrivals<'_> {
    type Item = ClientRequest;

    fn next(&mut self) -> Option<ClientRequest> {
        let at = self.next_at;
        if self.world.clients.rate <= 0.0 || at >= nanos_from_seconds(self.world.seconds) {
            return None;
        }
        let request = self.draw(at, None);
        let rate = self.rate_at(at);
        self.next_at = at + self.times.exponential(NANOS_PER_SECOND / rate) as Nanos;
        Some(request)
    }
}
