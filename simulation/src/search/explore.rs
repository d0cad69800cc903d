//! Breadth-first exploration of all reachable states.

use std::collections::HashSet;

use super::{Cluster, Step};

/// The steps to a state that violates an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The steps from the initial state; no shorter sequence violates an invariant.
    pub steps: Vec<Step>,
    /// The violation.
    pub violation: String,
}

/// The result of a search.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResult {
    /// Different states that were visited.
    pub states: usize,
    /// Steps of the longest interleaving that was visited.
    pub depth: usize,
    /// The first violation, if any.
    pub counterexample: Option<Counterexample>,
}

/// A step of a path, and the index of the step before it; a path begins at a step whose predecessor does not exist.
#[derive(Clone, Copy)]
struct PathStep {
    predecessor: usize,
    step: Step,
}

/// The predecessor of the first step of each path.
const NO_PREDECESSOR: usize = usize::MAX;

/// Visits all states within `max_depth` steps of an initial one, nearest first, until there is a violation or `max_states` were
/// visited.
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

/// The steps from the initial state up to this one.
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
