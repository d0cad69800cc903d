//! Who asks, and when. It depends on the world and the seed alone, and on nothing that nodes or servers do: both ways of
//! playing a world see the same clients.

use crate::Nanos;
use crate::random::RandomStream;
use crate::world::{FaultKind, World, seconds};

/// Somebody who asks for something.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// When, from the world's start.
    pub at: Nanos,
    /// To which zone's nodes it comes.
    pub zone: u32,
    /// Whose it is.
    pub tenant: Option<u32>,
    /// What is asked: a position in the world's classes.
    pub class: usize,
    /// Nanoseconds on a core of speed 1.
    pub work: f64,
    /// How long its answer waits for others.
    pub elsewhere: Nanos,
    /// When it hangs up, as a part of the time that it would wait.
    pub leaves: Option<f64>,
}

/// All that ask in a world without closed clients, in the order of their times.
pub struct Arrivals<'a> {
    world: &'a World,
    next: Nanos,
    times: RandomStream,
    zones: RandomStream,
    work: RandomStream,
    hang_ups: RandomStream,
    tenants: RandomStream,
}

/// One of several by its share.
fn by_share(stream: &mut RandomStream, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = stream.unit() * shares.clone().sum::<f64>();
    let last = shares.clone().count().saturating_sub(1);
    let mut shares = shares;
    let found = shares.position(|share| {
        left -= share;
        left < 0.0
    });
    found.unwrap_or(last)
}

impl<'a> Arrivals<'a> {
    /// Those of a world with a seed.
    pub fn new(world: &'a World, seed: u64) -> Self {
        let stream = |purpose| RandomStream::new(seed, purpose, 0);
        let (times, zones, work) = (stream("arrivals"), stream("zones"), stream("work"));
        Self { world, next: 0, times, zones, work, hang_ups: stream("hang-ups"), tenants: stream("tenants") }
    }

    /// How many times the usual rate comes then, of a tenant's requests or of everybody's.
    fn burst(&self, of: Option<u32>, at: Nanos) -> f64 {
        let bursts =
            self.world.faults.iter().filter(|fault| fault.kind == FaultKind::Burst && fault.tenant == of);
        let now = bursts.filter(|fault| (fault.span().0..fault.span().1).contains(&at));
        now.map(|fault| fault.rate_multiplier).product()
    }

    /// What the next client wants who comes then: to this zone, or to any by its share.
    pub fn draw(&mut self, at: Nanos, zone: Option<u32>) -> ClientRequest {
        let clients = &self.world.clients;
        let shares: Vec<f64> = clients
            .tenants
            .iter()
            .zip(0..)
            .map(|(tenant, n)| tenant.share * self.burst(Some(n), at))
            .collect();
        let zone = zone.unwrap_or_else(|| match clients.zone_shares.is_empty() {
            true => (self.zones.unit() * f64::from(self.world.zones)) as u32,
            false => by_share(&mut self.zones, clients.zone_shares.iter().copied()) as u32,
        });
        let tenant = (!shares.is_empty()).then(|| by_share(&mut self.tenants, shares.iter().copied()) as u32);
        let class = by_share(&mut self.work, clients.classes.iter().map(|class| class.share));
        let settings = &clients.classes[class];
        let work = self.work.about(settings.work_ms * 1e6);
        let elsewhere = self.work.about(settings.downstream_ms * 1e6) as Nanos;
        let hangs_up = clients.disconnect_ratio > 0.0 && self.hang_ups.unit() < clients.disconnect_ratio;
        let leaves = hangs_up.then(|| self.hang_ups.unit());
        ClientRequest { at, zone, tenant, class, work, elsewhere, leaves }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = ClientRequest;

    fn next(&mut self) -> Option<ClientRequest> {
        let (at, clients) = (self.next, &self.world.clients);
        if clients.rate <= 0.0 || at >= seconds(self.world.seconds) {
            return None;
        }
        let asks = self.draw(at, None);
        let usual: f64 = clients.tenants.iter().map(|tenant| tenant.share).sum();
        let shares =
            clients.tenants.iter().zip(0..).map(|(tenant, n)| tenant.share * self.burst(Some(n), at));
        let more = if clients.tenants.is_empty() { 1.0 } else { shares.sum::<f64>() / usual };
        let rate = clients.rate * self.burst(None, at) * more;
        self.next = at + self.times.waiting(1e9 / rate) as Nanos;
        Some(asks)
    }
}
