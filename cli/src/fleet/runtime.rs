//! The runtime on which the commands call agents.

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future, and the local tasks that it spawns, on this thread.
pub(super) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime =
        Builder::new_current_thread().enable_all().build().expect("a current-thread runtime starts");
    LocalSet::new().block_on(&runtime, future)
}
