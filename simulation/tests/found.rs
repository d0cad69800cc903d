//! Worlds that once broke a rule, each kept as a file: those of the code as it is hold now, those with a known fault still show it.

use std::path::Path;

use googletest::prelude::*;
use ivyhatch_simulation::hunt::RecordedRun;

#[gtest]
fn every_world_that_was_found_holds_now() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("found");
    let mut played = 0;
    for file in std::fs::read_dir(folder).expect("the folder is there") {
        let path = file.expect("it can be listed").path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        played += 1;
        let found = RecordedRun::read(&path).expect("it can be read");
        let shown = found.play().violation.map(|violation| violation.invariant);
        let wanted = found.injected_bug.map(|_| found.violation.invariant);
        expect_that!(shown, eq(wanted), "{}", path.display());
    }
    expect_that!(played, gt(0));
}
