//! The budget for a node's retries: the node's own token bucket, or its part of a budget that many nodes
//! share.

mod shared;
mod token_bucket;

pub(crate) use shared::SharedBudget;
pub use shared::SharedRetryBudget;
pub(crate) use token_bucket::TokenBucket;

/// A node's retry budget.
pub(crate) enum RetryBudget {
    /// The node's own budget. A retry is paid for when the node decides on it.
    Own(TokenBucket),
    /// The node's part of a budget that many nodes share. A retry is paid for when it is sent, as the budget
    /// limits arrivals: a queued retry may be sent a window later.
    Shared(SharedBudget),
}
