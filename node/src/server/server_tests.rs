use ivyhatch_balancer::Nanos;

use super::request::remaining_budget;

const MS: Nanos = 1_000_000;

/// Guards against responses that are sent at the client's deadline and so arrive after it.
#[test]
fn time_on_the_network_is_deducted_from_the_budget() {
    assert_eq!(remaining_budget(200, 500 * MS, 0), 196 * MS);
    assert_eq!(remaining_budget(200, 500 * MS, 10 * MS), 186 * MS);
    assert_eq!(remaining_budget(9000, 500 * MS, 0), 496 * MS);
    assert_eq!(remaining_budget(3, 500 * MS, 0), 0);
    assert_eq!(remaining_budget(u64::MAX, u64::MAX, u64::MAX), 0);
}
