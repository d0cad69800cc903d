//! The pick inside a zone.

use super::figures::*;
use crate::api::*;
use crate::state::*;

impl Balancer {
    /// Among the permitted backends that would answer in time: with few nodes the one with the least expected
    /// delay; with many, of those that the node keeps to, the one with the least own load times slowness.
    pub(super) fn pick(&self, id: RequestId, zone: ZoneId) -> Option<BackendId> {
        if !self.has_many_nodes() {
            return self.pick_among(id, self.zone_backends.get(zone.0 as usize)?);
        }
        // Many nodes on all backends would fill their tables of connections: each keeps to a few by its lots.
        // It leaves them only when none takes requests: in a jam all would try all, and none could rest.
        let own = self.zone_subsets.get(zone.0 as usize)?;
        let takes = |b: &Backend| self.is_usable(b) && b.member.state == BackendState::InService;
        let sound = |id: &BackendId| self.backends.get(id).is_some_and(takes);
        let all = self.zone_backends.get(zone.0 as usize)?;
        self.pick_among(id, if own.iter().any(sound) { own } else { all })
    }

    pub(super) fn pick_among(&self, id: RequestId, members: &[BackendId]) -> Option<BackendId> {
        let mut best = None;
        let request = self.requests.get(&id)?;
        let mut jitter = self.random_state ^ id.0.wrapping_mul(0xd6e8_feb8_6659_fd93);
        // Of very many a sample is looked at; where none of it has room, a second one.
        let few = members.len() <= MAX_SCANNED_BACKENDS;
        let looks = if few { members.len() } else { 2 * PICK_SAMPLE_SIZE };
        let mut place = jitter;
        for look in 0..looks {
            let at = if few {
                look
            } else if look == PICK_SAMPLE_SIZE && best.is_some() {
                break;
            } else {
                place = place.wrapping_add(0x9e37_79b9_7f4a_7c15);
                (hash_mix(place) % members.len() as u64) as usize
            };
            let to = members[at];
            let Some(backend) = self.backends.get(&to) else { continue };
            if !self.is_usable(backend)
                || !self.admits(request, backend)
                || !self.permits_send(request, backend)
            {
                continue;
            }
            jitter = jitter.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            let chance = (jitter >> 40) as f64 / (1u64 << 24) as f64;
            let tried = request.attempts.iter().any(|attempt| attempt.backend == to);
            // Failing fast must not look idle: failures weigh like delay; faded, or no trial would be made.
            let failing = 1.0
                + 8.0 * backend.failure_rate.decayed(self.now, SLOWNESS_DECAY_TIME_CONSTANT)
                + if tried { 4.0 } else { 0.0 };
            if self.has_many_nodes() {
                let drag = backend.slowness(self.now, &self.settings.rules).max(0.5);
                let load = (f64::from(backend.in_flight) + 1.0) * drag * failing * (1.0 + 0.5 * chance);
                if best.is_none_or(|(least, _)| load < least) {
                    best = Some((load, to));
                }
                continue;
            }
            let delay = self.expected_delay(request, backend) * failing * (1.0 + PICK_JITTER * chance);
            if best.is_none_or(|(least, _)| delay < least) {
                best = Some((delay, to));
            }
        }
        best.map(|(_, to)| to)
    }
}
