//! The clients: open-loop clients, which arrive independently of responses, and closed-loop clients, which send the next request
//! once the previous one has its outcome.

mod exchange;
mod lifecycle;

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::{Arrivals, Nanos};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::clock::NANOS_PER_SECOND;
use crate::run_state::RunState;
use lifecycle::run_client;

/// The starts of closed-loop clients are spread over this time, in nanoseconds.
const CLOSED_CLIENT_START_WINDOW: f64 = 100e6;

/// Runs all clients. Returns when the world's time is over and each request has its outcome.
pub(crate) async fn run_all(run: &Rc<RunState>, arrivals: &mut Arrivals<'_>) {
    let (returns, mut returning) = mpsc::unbounded_channel();
    let end = (run.world.seconds * NANOS_PER_SECOND) as Nanos;
    start_closed_clients(run, &returns);
    // Each client holds a sender, so that the channel closes when the last client is done.
    let mut returns = Some(returns);
    let mut next_arrival = arrivals.next();
    loop {
        if next_arrival.is_none() && run.clock.elapsed() >= end {
            returns = None;
        }
        let at = next_arrival.as_ref().map_or(end, |request| request.arrives_at);
        tokio::select! {
            () = sleep_until(run.clock.instant(at)), if returns.is_some() => {
                let (Some(request), Some(returns)) = (next_arrival.take(), returns.clone()) else { continue };
                let run = run.clone();
                spawn_local(async move {
                    run_client(run, request).await;
                    drop(returns);
                });
                next_arrival = arrivals.next();
            }
            zone = returning.recv() => {
                let Some(zone) = zone else { return };
                let (now, Some(returns)) = (run.clock.elapsed(), returns.clone()) else { continue };
                if now >= end {
                    continue;
                }
                let (request, run) = (arrivals.draw(now, Some(zone)), run.clone());
                spawn_local(async move {
                    let pause = run_client(run, request).await;
                    sleep(Duration::from_nanos(pause)).await;
                    // The send fails if the run is over and the receiver has been dropped.
                    let _ = returns.send(zone);
                });
            }
        }
    }
}

fn start_closed_clients(run: &Rc<RunState>, returns: &mpsc::UnboundedSender<u32>) {
    for zone in run.world.clients.closed_client_zones(run.world.zones) {
        let delay = run.random.node_choices.borrow_mut().unit() * CLOSED_CLIENT_START_WINDOW;
        let returns = returns.clone();
        spawn_local(async move {
            sleep(Duration::from_nanos(delay as Nanos)).await;
            // The send fails if the run is over and the receiver has been dropped.
            let _ = returns.send(zone);
        });
    }
}
