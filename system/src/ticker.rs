//! The periodic tick of a role's state machine.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

/// Time between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Calls `on_tick` every [`TICK_INTERVAL`], the first time at once; never returns. After a delay the next tick comes a whole interval
/// later.
pub async fn run_ticks(mut on_tick: impl FnMut()) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        on_tick();
    }
}
