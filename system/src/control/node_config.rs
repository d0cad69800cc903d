//! The configuration of the state machine: the node's identity, its random incarnation, and its intervals and timeouts.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ivyhatch_control::NodeConfig;
use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};
use ivyhatch_protocol::settings::Settings;
use ivyhatch_protocol::{MILLISECOND, Nanos};

/// Minimum time between two polls of the platform's instance list, in milliseconds. The platform charges for requests.
const MIN_POLL_INTERVAL_MS: f64 = 400.0;
/// The instance list is polled this many times within a server's drain time, which runs from the moment at which the platform's list
/// shows the drain.
const POLLS_PER_DRAIN: f64 = 6.0;
/// Time between two polls, in milliseconds, at a rate limit of one request per second; divided by the actual rate limit. Polls then use
/// no more than a tenth of the requests that the platform allows.
const POLL_INTERVAL_MS_AT_RATE_OF_1: f64 = 10_000.0;
/// Lower bound of the platform's configured rate limit, in requests per second.
const MIN_RATE_PER_SECOND: f64 = 0.1;
/// A process that shuts down ends this long before the end of its shutdown grace period, when it would be killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1500);

/// Builds the state machine's configuration from the settings. Each call draws a new incarnation.
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

/// Draws a random incarnation, which must be unique to the process. IP address, process ID, time and a memory address are mixed in, so
/// that incarnations differ even if the machine has no other source of randomness.
fn draw_incarnation(settings: &Settings) -> u64 {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let allocation = Box::new(0_u8);
    let random = RandomState::new().hash_one(unix_time);
    let process = format!("{}{:?}{:p}{unix_time:?}", settings.ip, std::process::id(), allocation);
    hash_mix(random ^ fnv1a_hash(process.as_bytes()))
}

/// The time between two polls of the platform's instance list, from the drain time and the platform's rate limit.
fn poll_interval(settings: &Settings) -> Nanos {
    let rate_per_second = settings.cloud_api.rate_per_s.max(MIN_RATE_PER_SECOND);
    let milliseconds = (settings.bounds.drain_timeout_ms / POLLS_PER_DRAIN)
        .max(MIN_POLL_INTERVAL_MS)
        .max(POLL_INTERVAL_MS_AT_RATE_OF_1 / rate_per_second);
    milliseconds as u64 * MILLISECOND
}

/// How long the changes of cells are kept, so that a watch may resume from an earlier revision.
fn cell_history(settings: &Settings) -> Nanos {
    Duration::try_from_secs_f64(settings.bounds.cell_history_s).unwrap_or_default().as_nanos() as Nanos
}

/// The time that a shutdown may take: the grace period less [`SHUTDOWN_MARGIN`].
fn shutdown_timeout(settings: &Settings) -> Nanos {
    let grace = Duration::try_from_secs_f64(settings.bounds.shutdown_grace_s).unwrap_or_default();
    grace.saturating_sub(SHUTDOWN_MARGIN).as_nanos() as u64
}
