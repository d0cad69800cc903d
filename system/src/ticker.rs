//! The periodic tick of a role's state machine.

use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Calls `on_tick` immediately and then every [`TICK_INTERVAL`]; never returns. If a tick is late, the next one follows a whole interval
/// after it.
pub async fn run_ticks(mut on_tick: impl FnMut()) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        on_tick();
    }
}
