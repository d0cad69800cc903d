//! The same events give the same actions as in the recorded build: caches, indexes and queues may make
//! decisions faster, but must not change them.
//!
//! If a change is meant to change decisions, `RECORD=1 cargo test --test recorded` rewrites the record; the
//! commit must say which decisions changed, and why.

#[path = "common/closed_loop.rs"]
mod closed_loop;

use std::fmt::Write;

use closed_loop::{ClosedLoop, Shape};
use ivyhatch_balancer::Weights;

const MS: u64 = 1_000_000;
const RECORD: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/recorded.txt");

/// Shapes with light load and overload, few nodes and many, failures, list changes, load reports and live
/// weights.
fn shapes() -> Vec<Shape> {
    let mut shapes = Vec::new();
    for seed in 0..3 {
        let base = Shape { seed, ..Shape::default() };
        let rough = Shape { failing: 30, churn: 400 * MS, ..base };
        shapes.extend([
            base,
            Shape { rate: 400, ..base },
            Shape { rate: 300, ..rough },
            Shape { reports: true, rate: 250, ..rough },
            Shape { probes: true, rate: 120, churn: 3000 * MS, ..base },
            Shape { probes: true, rate: 250, ..rough },
            Shape { nodes: 1, zones: 1, backends: 1, rate: 40, ..rough },
            Shape { nodes: 300, rate: 20, backends: 60, ..rough },
            Shape { nodes: 300, rate: 50, backends: 60, weights: Weights::Live, ..base },
            Shape { nodes: 300, rate: 50, backends: 60, weights: Weights::Live, reports: true, ..rough },
            Shape { backends: 200, rate: 3000, work: 150 * MS, reports: seed > 0, ..rough },
        ]);
    }
    shapes
}

#[test]
fn recorded_runs_give_the_recorded_actions() {
    let mut actual = String::new();
    for shape in shapes() {
        let mut closed_loop = ClosedLoop::new(shape);
        write!(actual, "{shape:?}:").unwrap();
        // Intermediate digests show where two builds start to differ.
        for part in 1..=8 {
            closed_loop.run(part * 400);
            write!(actual, " {:016x}", closed_loop.digest).unwrap();
        }
        writeln!(actual, " sends {} refusals {}", closed_loop.sends, closed_loop.rejections).unwrap();
    }
    if std::env::var_os("RECORD").is_some() {
        std::fs::write(RECORD, &actual).unwrap();
    }
    let recorded = std::fs::read_to_string(RECORD).expect("a readable record");
    assert_eq!(recorded.lines().count(), actual.lines().count(), "number of recorded loops and of loops run");
    for (recorded_line, actual_line) in recorded.lines().zip(actual.lines()) {
        assert_eq!(recorded_line, actual_line, "decisions differ from the recorded ones");
    }
}
