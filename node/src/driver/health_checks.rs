//! The probes in flight: at most one for each backend.

use std::collections::HashMap;
use std::net::SocketAddr;

use ivyhatch_balancer::{BackendId, Nanos};
use tokio::sync::oneshot;

use super::attempts::InFlight;

/// Identifies one probe of one backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeKey {
    backend: BackendId,
    number: u64,
}

impl ProbeKey {
    /// The probed backend.
    pub fn backend(&self) -> BackendId {
        self.backend
    }
}

/// A probe to be made.
pub struct ProbeStart {
    /// Identifies the probe when its result is reported.
    pub key: ProbeKey,
    /// The address at which the backend listens.
    pub endpoint: SocketAddr,
    /// Resolves once the probe has been cancelled.
    pub cancelled: oneshot::Receiver<()>,
}

struct ProbeInFlight {
    number: u64,
    in_flight: InFlight,
}

/// The probes in flight.
#[derive(Default)]
pub(super) struct ProbeTable {
    probes: HashMap<BackendId, ProbeInFlight>,
    next_number: u64,
    /// Whether probing has stopped because the node shuts down.
    stopped: bool,
}

impl ProbeTable {
    /// Starts a probe. `None` if a probe of this backend is in flight, or if probing has stopped.
    pub(super) fn start(
        &mut self,
        backend: BackendId,
        endpoint: SocketAddr,
        now: Nanos,
    ) -> Option<ProbeStart> {
        if self.stopped || self.probes.contains_key(&backend) {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        let (in_flight, cancelled) = InFlight::start(now);
        self.probes.insert(backend, ProbeInFlight { number, in_flight });
        Some(ProbeStart { key: ProbeKey { backend, number }, endpoint, cancelled })
    }

    /// Ends a probe. Returns how long the probe took; `None` if it had been cancelled.
    pub(super) fn end(&mut self, key: ProbeKey, now: Nanos) -> Option<Nanos> {
        self.probes.get(&key.backend).filter(|probe| probe.number == key.number)?;
        self.probes.remove(&key.backend).map(|probe| probe.in_flight.elapsed(now))
    }

    /// Cancels the probe of a backend. Returns the time since the probe's start; `None` if no probe was in flight.
    pub(super) fn cancel(&mut self, backend: BackendId, now: Nanos) -> Option<Nanos> {
        let mut probe = self.probes.remove(&backend)?;
        probe.in_flight.cancel();
        Some(probe.in_flight.elapsed(now))
    }

    pub(super) fn is_in_flight(&self, backend: BackendId) -> bool {
        self.probes.contains_key(&backend)
    }

    /// Stops probing: no more probes are started. Returns the backends with a probe in flight.
    pub(super) fn stop(&mut self) -> Vec<BackendId> {
        self.stopped = true;
        self.probes.keys().copied().collect()
    }
}
