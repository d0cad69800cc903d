//! The rules that every send must satisfy: the request's deadline, its limit of attempts, idempotency,
//! draining backends, slow-start budgets, and the advisor's veto.

use super::tuning::MAX_UNREACHED_BACKENDS;
use crate::api::{Idempotency, IdempotencyScope};
use crate::state::{Backend, Balancer, Request, RequestPhase};

impl Balancer {
    /// Whether this request may be sent to this backend now. The rule on draining backends is met with a
    /// margin: a backend is sent nothing once its drain notice has been received.
    pub(super) fn permits_send(&self, request: &Request, backend: &Backend) -> bool {
        backend.is_in_service()
            && self.permits_attempt(request)
            && self.permits_backend(request, backend)
            && self.fits_slow_start_budget(backend, request)
            && self.advisor_allows(request, backend)
    }

    /// Whether the state of the request allows one more attempt.
    pub(super) fn permits_attempt(&self, request: &Request) -> bool {
        let is_waiting = matches!(request.phase, RequestPhase::Open | RequestPhase::Queued);
        let may_hedge = self.settings.limits.hedging || !request.has_attempt_in_flight();
        let idempotency = self.settings.classes[request.class].idempotency;
        let may_run_again = idempotency != Idempotency::NonIdempotent || !request.may_have_run();
        is_waiting
            && self.now < request.not_after
            && may_hedge
            && self.has_attempts_left(request)
            && may_run_again
    }

    /// Whether the backend recognises and drops a repeat of a keyed request that may have run. True for a
    /// request that is not keyed or has not run.
    fn permits_backend(&self, request: &Request, backend: &Backend) -> bool {
        let Idempotency::Keyed { scope, window } = self.settings.classes[request.class].idempotency else {
            return true;
        };
        let Some(first) = request.attempts.iter().find(|attempt| attempt.may_have_run()) else { return true };
        let shares_keys = match scope {
            IdempotencyScope::All => true,
            IdempotencyScope::Zone => first.zone == backend.member.zone,
            IdempotencyScope::Cell => first.cell == backend.member.cell,
        };
        shares_keys && self.now + self.settings.quantum < first.sent_at.saturating_add(window)
    }

    /// Whether the request may be sent to one more backend. If its class has its own limit, an attempt that
    /// did not reach its backend does not count against that limit but against [`MAX_UNREACHED_BACKENDS`].
    fn has_attempts_left(&self, request: &Request) -> bool {
        let Some(max_attempts) = self.settings.classes[request.class].max_attempts else {
            return (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        };
        let unreached = request.attempts.iter().filter(|attempt| attempt.never_reached_backend()).count();
        let reached = request.attempts.len() - unreached;
        reached < max_attempts as usize && unreached < MAX_UNREACHED_BACKENDS
    }
}
