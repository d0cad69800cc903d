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
    let (ready, mut ready_zones) = mpsc::unbounded_channel();
    let end = (run.world.seconds * NANOS_PER_SECOND) as Nanos;
    start_closed_clients(run, &ready);
    // Each client holds a sender, so that the channel closes when the last client is done.
    let mut ready = Some(ready);
    let mut next_arrival = arrivals.next();
    loop {
        if next_arrival.is_none() && run.clock.elapsed() >= end {
            ready = None;
        }
        let at = next_arrival.as_ref().map_or(end, |request| request.arrives_at);
        tokio::select! {
            () = sleep_until(run.clock.instant(at)), if ready.is_some() => {
                let (Some(request), Some(ready)) = (next_arrival.take(), ready.clone()) else { continue };
                let run = run.clone();
                spawn_local(async move {
                    run_client(run, request).await;
                    drop(ready);
                });
                next_arrival = arrivals.next();
            }
            zone = ready_zones.recv() => {
                let Some(zone) = zone else { return };
                let (now, Some(ready)) = (run.clock.elapsed(), ready.clone()) else { continue };
                if now >= end {
                    continue;
                }
                let (request, run) = (arrivals.draw(now, Some(zone)), run.clone());
                spawn_local(async move {
                    let pause = run_client(run, request).await;
                    sleep(Duration::from_nanos(pause)).await;
                    // The send fails if the run is over and the receiver has been dropped.
                    let _ = ready.send(zone);
                });
            }
        }
    }
}

fn start_closed_clients(run: &Rc<RunState>, ready: &mpsc::UnboundedSender<u32>) {
    for zone in run.world.clients.closed_client_zones(run.world.zones) {
        let delay = run.random.node_choices.borrow_mut().unit() * CLOSED_CLIENT_START_WINDOW;
        let ready = ready.clone();
        spawn_local(async move {
            sleep(Duration::from_nanos(delay as Nanos)).await;
            // The send fails if the run is over and the receiver has been dropped.
            let _ = ready.send(zone);
        });
    }
}
