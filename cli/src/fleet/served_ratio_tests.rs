//! Tests of the served ratio of requests.

use super::{FleetResponseCounts, ProcessKey, ResponseCount};

#[test]
fn new_process_counts_from_zero_and_too_few_responses_give_no_ratio() {
    let counts = |list: &[(&str, i32, u64, u64)]| -> FleetResponseCounts {
        let process = |name: &str, pid: i32| ProcessKey { instance: name.to_owned(), pid };
        let entry = |&(name, pid, served, total): &(&str, i32, u64, u64)| {
            (process(name, pid), ResponseCount { served, total })
        };
        FleetResponseCounts(list.iter().map(entry).collect())
    };
    let before = counts(&[("a", 1, 1000, 1000), ("b", 2, 500, 600)]);
    let after = counts(&[("a", 9, 30, 40), ("b", 2, 530, 640)]);
    assert_eq!(after.served_ratio_since(&before), Some(60.0 / 80.0));
    assert_eq!(counts(&[("a", 1, 1010, 1019)]).served_ratio_since(&before), None);
}
