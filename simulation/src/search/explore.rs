//! Breadth-first exploration of all reachable states.

use std::collections::HashSet;

use super::{Cluster, Step};

/// The steps from the initial state to a violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The steps from the initial state, including the violating one; no shorter sequence violates an invariant.
    pub steps: Vec<Step>,
    /// A description of the violation.
    pub violation: String,
}

/// The result of a search.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResult {
    /// The number of distinct states that were visited.
    pub states: usize,
    /// The number of steps of the longest visited interleaving.
    pub depth: usize,
    /// The first violation that was found; `None` if there was none within the limits.
    pub counterexample: Option<Counterexample>,
}

/// A step of a path, and the index of the preceding step, or [`NO_PREDECESSOR`] for the first step of a path.
#[derive(Clone, Copy)]
struct PathStep {
    predecessor: usize,
    step: Step,
}

/// The predecessor index of the first step of each path; no step has this index.
const NO_PREDECESSOR: usize = usize::MAX;

/// Visits all states within `max_depth` steps of `initial` in breadth-first order, until a violation is found or `max_states` states
/// were visited.
pub fn search(initial: Cluster, max_depth: usize, max_states: usize) -> SearchResult {
    let mut visited = HashSet::from([initial.fingerprint()]);
    let mut path_steps: Vec<PathStep> = Vec::new();
    let mut frontier: Vec<(Cluster, usize)> = vec![(initial, NO_PREDECESSOR)];
    let mut depth = 0;
    while depth < max_depth && !frontier.is_empty() && visited.len() < max_states {
        depth += 1;
        let mut next = Vec::new();
        for (cluster, predecessor) in frontier {
            for step in cluster.enabled_steps() {
                let mut successor = cluster.clone();
                let path_step = PathStep { predecessor, step };
                if let Some(violation) = successor.apply(step) {
                    let steps = path_to(&path_steps, path_step);
                    let counterexample = Some(Counterexample { steps, violation });
                    return SearchResult { states: visited.len(), depth, counterexample };
                }
                if visited.len() < max_states && visited.insert(successor.fingerprint()) {
                    path_steps.push(path_step);
                    next.push((successor, path_steps.len() - 1));
                }
            }
        }
        frontier = next;
    }
    SearchResult { states: visited.len(), depth, counterexample: None }
}

/// The steps from the initial state up to and including `last`.
fn path_to(path_steps: &[PathStep], last: PathStep) -> Vec<Step> {
    let mut steps = vec![last.step];
    let mut predecessor = last.predecessor;
    while let Some(previous) = path_steps.get(predecessor) {
        steps.push(previous.step);
        predecessor = previous.predecessor;
    }
    steps.reverse();
    steps
}
