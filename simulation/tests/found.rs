//! Regression test of recorded runs that once violated an invariant. Runs with an injected bug must still violate the recorded
//! invariant; runs without one must not violate any.

use std::path::Path;

use googletest::prelude::*;
use ivyhatch_simulation::randomized_search::RecordedRun;

#[gtest]
fn recorded_runs_violate_an_invariant_only_with_their_injected_bug() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("found");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the folder of recorded runs exists") {
        let path = file.expect("the folder can be listed").path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        played += 1;
        let recorded = RecordedRun::read(&path).expect("the recorded run is readable");
        let violated = recorded.play().violation.map(|violation| violation.invariant);
        let expected = recorded.injected_bug.map(|_| recorded.violation.invariant);
        expect_that!(violated, eq(expected), "{}", path.display());
    }
    expect_that!(played, gt(0));
}
