//! A node's use of its retry budget, for operators. No decision depends on it.

/// Totals since the start of a node. Summed over the nodes of a service, the difference between two points in
/// time shows how close the service came to its retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryUsage {
    /// Requests that arrived.
    pub requests: u64,
    /// Retries after an attempt that had reached a server; each is one more arrival of its request.
    pub repeats: u64,
    /// Repeats after an attempt that another instance at the backend's address rejected; included in
    /// `repeats`.
    pub repeats_after_misdirected: u64,
    /// Repeats that no budget has paid for; included in `repeats`.
    pub unpaid_repeats: u64,
    /// Repeats that were not sent because the budget did not allow them.
    pub denied_repeats: u64,
}
