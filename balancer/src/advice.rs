//! What the embedder knows of single requests and backends, and the module asks for at each choice; and what of a node's settings
//! changes while it runs.

use crate::api::*;
use crate::policy::figures::MIN_LOAD_LIMIT;
use crate::state::*;

/// What an embedder advises. Without one the module goes by what it has learned.
pub trait PlacementAdvisor {
    /// Whether this request may go to this backend now, whatever else speaks for it.
    fn allows(&self, now: Nanos, request: RequestId, backend: BackendId) -> bool;

    /// The time to the beginning of this request's answer from this backend, in nanoseconds; none where it is not known better
    /// than by what the module has learned. Where it is known, `allows` tells as well whether there is room.
    fn expected_delay(&self, now: Nanos, request: RequestId, backend: BackendId) -> Option<f64>;

    /// This request is sent to this backend: what is asked next has to take it into account, also within the same event.
    fn on_sent(&self, now: Nanos, request: RequestId, backend: BackendId);

    /// Whether the node's own zone can ever take this request.
    fn home_zone_allowed(&self, request: RequestId) -> bool;
}

impl Balancer {
    /// Goes by this advice from now on.
    pub fn set_advisor(&mut self, advice: Box<dyn PlacementAdvisor>) {
        self.advisor = Some(advice);
    }

    /// So many nodes share the backends from now on.
    pub fn set_nodes(&mut self, nodes: u32) {
        self.settings.nodes = nodes.max(1);
    }

    /// So many repeats may be saved up from now on, where all nodes together have a bound of their own.
    pub fn set_max_retry_tokens(&mut self, saved: f64) {
        self.max_retry_tokens = Some(saved.max(0.0));
        self.retry_tokens = self.retry_tokens.min(self.retry_token_limit());
    }

    /// A class more; its number is the next one.
    pub fn add_class(&mut self, class: ClassSettings) -> ClassId {
        let id = ClassId(self.classes.len() as u32);
        self.classes.push(ClassView::new(&class));
        self.settings.classes.push(class);
        self.pending.add_class();
        id
    }

    pub(crate) fn advisor_allows(&self, request: &Request, backend: &Backend) -> bool {
        let to = backend.member.backend;
        self.advisor.as_ref().is_none_or(|advice| advice.allows(self.now, request.id, to))
    }

    pub(crate) fn notify_advisor(&self, request: RequestId, to: BackendId) {
        self.advisor.iter().for_each(|advice| advice.on_sent(self.now, request, to));
    }

    pub(crate) fn home_zone_allowed(&self, id: RequestId) -> bool {
        self.advisor.as_ref().is_none_or(|advice| advice.home_zone_allowed(id))
    }

    fn advised_delay(&self, request: &Request, backend: &Backend) -> Option<f64> {
        self.advisor.as_ref()?.expected_delay(self.now, request.id, backend.member.backend)
    }

    /// Whether the embedder tells what this backend can take.
    pub(crate) fn has_advised_delay(&self, request: &Request, backend: &Backend) -> bool {
        self.advised_delay(request, backend).is_some()
    }

    /// The time that an answer is expected to take from this backend.
    pub(crate) fn expected_delay(&self, request: &Request, backend: &Backend) -> f64 {
        self.advised_delay(request, backend).unwrap_or_else(|| {
            let slowness = backend.slowness(self.now, &self.settings.rules);
            slowness * self.expected_latency(request.class, backend.load(self.nodes_per_zone()))
        })
    }

    /// Whether the request may be sent to one more backend. What was never written was not sent.
    pub(crate) fn has_attempts_left(&self, request: &Request) -> bool {
        let Some(most) = self.settings.classes[request.class].max_attempts else {
            return (request.attempts.len() as u32) < self.settings.limits.max_attempts;
        };
        let unsent =
            |attempt: &&Attempt| matches!(attempt.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent));
        let unsent = request.attempts.iter().filter(unsent).count();
        // Those that can't be reached are bounded as well: a request must not go through all of them.
        request.attempts.len() - unsent < most as usize && (unsent as f64) < MIN_LOAD_LIMIT
    }

    /// What one more attempt costs of the budget for repeats: nothing where the last one reached nobody.
    pub(crate) fn retry_token_cost(&self, request: &Request) -> f64 {
        let unsent =
            |attempt: &Attempt| matches!(attempt.outcome, Some(Outcome::ConnectFailed | Outcome::NotSent));
        let bounded = self.settings.classes[request.class].max_attempts.is_some();
        if bounded && request.attempts.last().is_some_and(unsent) { 0.0 } else { 1.0 }
    }

    /// How long a request that was never sent may be held.
    pub(crate) fn max_queue_time(&self, class: usize, wait: Nanos) -> Nanos {
        self.settings.classes[class].max_queue_time.unwrap_or(wait / 2).min(wait)
    }

    /// Whether it is too late to send a request again.
    pub(crate) fn is_too_late_to_retry(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        self.now >= if class.retry_past_target { request.not_after } else { request.target_at }
    }

    /// A stream has broken off: it is open again, with a new aim.
    pub(crate) fn reopen_stream(&mut self, id: RequestId, aim_end: Nanos) {
        self.set_phase(id, RequestPhase::Open);
        if let Some(request) = self.requests.get_mut(&id) {
            request.target_at = aim_end.min(request.not_after);
        }
    }
}
