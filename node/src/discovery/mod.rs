//! Follows discovery's list of backends by a watch: a long poll that is renewed as soon as it ends.

mod client;
mod list;
mod schedule;

use std::net::SocketAddr;
use std::time::Duration;

use ivyhatch_balancer::{Discovery, ListScope, Settings};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

pub use list::BackendList;

use crate::driver::Node;
use crate::log_rate_limit::LogRateLimiter;
use client::{CallError, DiscoveryConnection, LIST_PATH};
use schedule::{CallFailure, CallKind, DiscoverySchedule};

/// Watches discovery and applies its lists to the node.
pub struct DiscoveryWatch {
    node: Node,
    connection: DiscoveryConnection,
    /// The revision of the last list from the current address; `None` if the full list is needed.
    revision: Option<u64>,
    schedule: DiscoverySchedule,
    /// The origin of the schedule's times.
    started_at: Instant,
}

/// A received list and the duration of its call.
struct Fetched {
    list: BackendList,
    elapsed: Duration,
}

/// The schedule of calls to discovery for a node with these settings. `seed` should differ between nodes.
pub fn schedule_for(settings: &Settings, seed: u64) -> DiscoverySchedule {
    let rules = &settings.rules;
    match settings.discovery {
        Discovery::OnRequest => {
            let max_poll_interval = Duration::from_nanos(rules.max_poll_interval);
            DiscoverySchedule::for_shared_service(settings.nodes, max_poll_interval, seed)
        }
        _ => DiscoverySchedule::for_local_agent(Duration::from_nanos(rules.drain_grace), seed),
    }
}

impl DiscoveryWatch {
    /// A watch of the discovery service at `at` that starts from `cached`, a list that may be stale.
    pub fn new(node: Node, at: SocketAddr, cached: Option<BackendList>, schedule: DiscoverySchedule) -> Self {
        let revision = cached.as_ref().map(|list| list.rev);
        if let Some(list) = cached {
            node.apply_list(ListScope::Cached, list.into_records());
        }
        let connection = DiscoveryConnection::new(at);
        Self { node, connection, revision, schedule, started_at: Instant::now() }
    }

    /// Watches the discovery service at the latest `address`; never returns.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        let mut log_limiter = LogRateLimiter::default();
        loop {
            let delay = self.schedule.next_delay(self.started_at.elapsed());
            let fetched = tokio::select! {
                biased;
                Ok(()) = address.changed() => None,
                fetched = self.fetch_after(delay) => Some(fetched),
            };
            match fetched {
                None => {
                    let at = *address.borrow_and_update();
                    self.move_to(at);
                    log_limiter = LogRateLimiter::default();
                }
                Some(Ok(fetched)) => self.apply(fetched),
                Some(Err(error)) => {
                    log_limiter.log(|suppressed| {
                        tracing::warn!("discovery call failed: {error} ({suppressed} suppressed)");
                    });
                    self.call_failed(&error);
                }
            }
        }
    }

    async fn fetch_after(&mut self, delay: Duration) -> Result<Fetched, CallError> {
        sleep(delay).await;
        let called_at = Instant::now();
        let list = self.fetch().await?;
        Ok(Fetched { list, elapsed: called_at.elapsed() })
    }

    async fn fetch(&mut self) -> Result<BackendList, CallError> {
        let revision = self.revision.filter(|_| !self.node.take_full_list_wanted());
        let kind = if revision.is_some() { CallKind::Watch } else { CallKind::FullList };
        let timeouts = self.schedule.start_call(self.started_at.elapsed(), kind);
        let target = match revision {
            Some(revision) => {
                format!("{LIST_PATH}?from={revision}&hold_ms={}", timeouts.long_poll.as_millis())
            }
            None => LIST_PATH.to_owned(),
        };
        let call = self.connection.fetch(&target, self.schedule.connect_timeout());
        timeout(timeouts.call, call).await.map_err(|_| CallError::TimedOut)?
    }

    /// Continues at another address. Revisions are valid at one address only, so the full list is requested next. The known
    /// backends are kept until then: they have the same names in the lists of the new address.
    fn move_to(&mut self, at: SocketAddr) {
        self.connection = DiscoveryConnection::new(at);
        self.revision = None;
        self.schedule.discovery_moved(self.started_at.elapsed());
    }

    fn apply(&mut self, fetched: Fetched) {
        let Fetched { list, elapsed } = fetched;
        self.schedule.call_succeeded();
        let scope_name = if list.all { "full" } else { "changes" };
        tracing::info!(
            "backend list {} ({scope_name}, {} records) received {} ms after its call",
            list.rev,
            list.len(),
            elapsed.as_millis()
        );
        self.revision = Some(list.rev);
        if list.all || list.len() > 0 {
            self.node.apply_list(list.scope(), list.into_records());
        }
    }

    fn call_failed(&mut self, error: &CallError) {
        self.connection.close();
        self.schedule.call_failed(match error {
            CallError::TimedOut => CallFailure::TimedOut,
            _ => CallFailure::Error,
        });
        self.node.discovery_failed();
    }
}

#[cfg(test)]
#[path = "discovery_tests.rs"]
mod tests;
