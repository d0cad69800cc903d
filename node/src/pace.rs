//! When a first call to discovery, or one after a failure, may go out, where one discovery serves all nodes: they start together
//! and are turned away together, so each waits for a part of a span, drawn by chance (full jitter).

use std::time::Duration;

use brookfield::mix;

/// What each node adds to the span: a call takes a single service some hundredths of a second, and it takes all nodes' in
/// turn. Three nodes hardly wait; a hundred that start together spread their calls over five seconds.
const EACH: Duration = Duration::from_millis(50);

/// Spreads a node's calls.
pub struct Pace {
    span: Duration,
    most: Duration,
    failures: u32,
    random: u64,
}

impl Pace {
    /// One of `nodes` that must ask at least every `within`; none, where nothing asks that. `seed` should differ from node to node.
    pub fn new(nodes: u32, within: Duration, seed: u64) -> Self {
        let most = within / 2;
        Self { span: (EACH * nodes.saturating_sub(1)).min(most), most, failures: 0, random: seed }
    }

    /// No waits: discovery is the node's own.
    pub fn at_once() -> Self {
        Self { span: Duration::ZERO, most: Duration::ZERO, failures: 0, random: 0 }
    }

    /// A call has brought a list, or not.
    pub fn called(&mut self, brought: bool) {
        self.failures = if brought { 0 } else { self.failures.saturating_add(1) };
    }

    /// How long to wait before the next call; the span doubles with each failure in a row.
    pub fn wait(&mut self) -> Duration {
        let span = self.span.saturating_mul(1 << self.failures.min(16)).min(self.most);
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        span.mul_f64((mix(self.random) >> 11) as f64 / (1u64 << 53) as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WITHIN: Duration = Duration::from_secs(10);

    /// A hundred nodes called at their start and at each change of the list, all in one moment: of the first hundred calls 85 were
    /// turned away, and a node that had been restarted routed for ten seconds by the list of its life before.
    #[test]
    fn calls_of_a_hundred_nodes_that_start_together_are_spread() {
        let mut calls: Vec<Duration> =
            (0..100).map(|seed| Pace::new(100, WITHIN, seed << 32).wait()).collect();
        calls.sort();
        let crowd = calls.iter().map(|&from| {
            calls.iter().filter(|&&at| at >= from && at < from + Duration::from_secs(1)).count()
        });
        assert!(crowd.max() < Some(35), "{calls:?}");
        assert!(calls[99] < WITHIN / 2);
    }

    #[test]
    fn a_few_nodes_hardly_wait_and_failures_lengthen_the_span_up_to_half_of_what_is_asked() {
        let longest = |pace: &mut Pace| (0..1000).map(|_| pace.wait()).max().unwrap_or_default();
        let mut pace = Pace::new(3, WITHIN, 7);
        assert!(longest(&mut pace) <= 2 * EACH);
        (0..3).for_each(|_| pace.called(false));
        assert!((8 * EACH..=16 * EACH).contains(&longest(&mut pace)));
        (0..100).for_each(|_| pace.called(false));
        assert!((WITHIN / 4..=WITHIN / 2).contains(&longest(&mut pace)));
        pace.called(true);
        assert!(longest(&mut pace) <= 2 * EACH);
    }

    #[test]
    fn a_discovery_of_the_nodes_own_is_asked_at_once() {
        let mut pace = Pace::at_once();
        pace.called(false);
        assert_eq!(pace.wait(), Duration::ZERO);
        assert_eq!(Pace::new(u32::MAX, Duration::MAX, 1).span, EACH * (u32::MAX - 1));
    }
}
