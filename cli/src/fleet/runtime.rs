//! The async runtime of the commands that run and call agents.

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future to completion on the current thread, with the local tasks that it spawns.
pub(super) fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime =
        Builder::new_current_thread().enable_all().build().expect("a current-thread runtime can be created");
    LocalSet::new().block_on(&runtime, future)
}
