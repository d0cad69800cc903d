//! What the state machine is configured with: who the node is, its drawn incarnation, and its bounds in time.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyhatch_control::NodeConfig;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// The least time between two polls of the platform's instance list, in milliseconds. Requests are priced.
const MIN_POLL_INTERVAL_MS: f64 = 400.0;
/// A server's drain time runs from the moment at which the list shows it: the list is polled so many times within it ...
const POLLS_PER_DRAIN: f64 = 6.0;
/// ... but with no more than a tenth of the requests that the platform allows: milliseconds, divided by requests a second.
const POLL_INTERVAL_MS_AT_RATE_OF_1: f64 = 10_000.0;
/// The least rate limit that is reckoned with, in requests a second.
const MIN_RATE_PER_SECOND: f64 = 0.1;
/// A process that shuts down ends this long before it would be killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1500);

/// The configuration of this process. Its incarnation differs at each call.
pub fn node_config(settings: &Settings, has_disk: bool) -> NodeConfig {
    NodeConfig {
        node: settings.ip.into(),
        zone: settings.zone.clone(),
        incarnation: draw_incarnation(settings),
        has_disk,
        first_start: settings.first_start,
        seeds: settings.seed_nodes(),
        zones: settings.zones.keys().cloned().collect(),
        server_list_interval: poll_interval(settings),
        drain_timeout: shutdown_timeout(settings),
        has_coordination: settings.has_coordination(),
        cell_history: cell_history(settings),
    }
}

/// Draws the incarnation. No two processes may share one: the address, the process id, the time and an address in memory differ
/// between them, also where the machine has no other source of randomness.
fn draw_incarnation(settings: &Settings) -> u64 {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let allocation = Box::new(0_u8);
    let random = RandomState::new().hash_one(unix_time);
    let process = format!("{}{:?}{:p}{unix_time:?}", settings.ip, std::process::id(), allocation);
    hash_mix(random ^ fnv1a_hash(process.as_bytes()))
}

/// Time between two polls of the platform's instance list.
fn poll_interval(settings: &Settings) -> Nanos {
    let rate_per_second = settings.cloud_api.rate_per_s.max(MIN_RATE_PER_SECOND);
    let milliseconds = (settings.bounds.drain_timeout_ms / POLLS_PER_DRAIN)
        .max(MIN_POLL_INTERVAL_MS)
        .max(POLL_INTERVAL_MS_AT_RATE_OF_1 / rate_per_second);
    milliseconds as u64 * MILLISECOND
}

/// For how long watches may go on from a revision.
fn cell_history(settings: &Settings) -> Nanos {
    Duration::try_from_secs_f64(settings.bounds.cell_history_s).unwrap_or_default().as_nanos() as Nanos
}

/// Time that a shutdown may take.
fn shutdown_timeout(settings: &Settings) -> Nanos {
    let grace = Duration::try_from_secs_f64(settings.bounds.shutdown_grace_s).unwrap_or_default();
    grace.saturating_sub(SHUTDOWN_MARGIN).as_nanos() as u64
}
