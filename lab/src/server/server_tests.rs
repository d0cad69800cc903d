//! The model server: queueing, cancellation, degradation under backlog, and the cold start.

use super::SenderKnowledge::{Informed, Uninformed};
use super::{Admission, DEGRADED_SLOWDOWN, FinishedJob, Job, Server, ServerState, StartedJob};
use crate::time::{Nanos, SECOND};
use crate::world::ServerGroup;

fn started(id: u64, finishes_at: Nanos) -> Option<StartedJob> {
    Some(StartedJob { id, finishes_at })
}

fn server() -> Server {
    Server::new(ServerGroup { cores: 2, speed: 2.0, cancels_abandoned_work: true, ..ServerGroup::default() })
}

fn job(id: u64) -> Job {
    Job { id, work: 1e9 }
}

#[test]
fn jobs_beyond_the_cores_are_queued_and_beyond_the_queue_rejected() {
    let mut server = server();
    let admissions: Vec<_> = (0..4).map(|id| server.admit(job(id), Informed, 0)).collect();
    let half = Admission::Started(SECOND / 2);
    assert_eq!(admissions, [half, half, Admission::Queued, Admission::Queued]);
    assert_eq!(server.finish(0, SECOND / 2), FinishedJob { was_running: true, next: started(2, SECOND) });
    assert_eq!(
        server.finish(0, SECOND / 2),
        FinishedJob { was_running: false, next: None },
        "a job finishes once"
    );
    let full =
        (10..110).filter(|&id| server.admit(job(id), Informed, SECOND / 2) == Admission::Rejected).count();
    assert_eq!(full, 100 - (2 * 12 - 1), "job 3 was already waiting");
}

#[test]
fn cancelled_job_frees_its_core_only_on_servers_that_cancel_abandoned_work() {
    for cancels in [true, false] {
        let mut server = server();
        server.group.cancels_abandoned_work = cancels;
        for id in 0..4 {
            server.admit(job(id), Informed, 0);
        }
        server.cancel(2, 0);
        let next = server.cancel(0, SECOND / 4);
        assert_eq!(next, cancels.then_some(StartedJob { id: 3, finishes_at: SECOND / 4 + SECOND / 2 }));
    }
}

#[test]
fn lasting_backlog_degrades_the_server_until_it_has_been_idle() {
    let mut server = server();
    for id in 0..26 {
        server.admit(job(id), Informed, 0);
    }
    server.admit(job(30), Informed, SECOND);
    assert_eq!(server.degradations, 0);
    server.finish(0, 2 * SECOND);
    server.admit(job(31), Informed, 3 * SECOND + 1);
    assert_eq!(server.degradations, 1, "the backlog lasted over two seconds");
    let slow = server.finish(1, 4 * SECOND).next.expect("further jobs wait").finishes_at - 4 * SECOND;
    assert_eq!(slow, (0.5 * DEGRADED_SLOWDOWN * SECOND as f64) as Nanos);
    server.queue.clear();
    server.running.clear();
    server.idle_since = 5 * SECOND;
    assert_eq!(
        server.admit(job(40), Informed, 8 * SECOND),
        Admission::Started(8 * SECOND + SECOND / 2),
        "an idle server recovers"
    );
}

#[test]
fn restarted_server_is_cold_and_empty_and_crashes_when_overloaded() {
    let mut server = server();
    server.admit(job(0), Informed, 0);
    server.restart(SECOND);
    let Admission::Started(finishes_at) = server.admit(job(1), Informed, SECOND) else {
        panic!("a restarted server is idle")
    };
    assert!((SECOND * 3 / 2..SECOND * 8 / 5).contains(&(finishes_at - SECOND)), "{finishes_at}");
    // The limit is 8.4 seconds of work: 0.33 of a capacity of 4 per second, times 3, over 2 seconds, plus 0.5.
    let mut admit = |id, sender| server.admit(job(id), sender, SECOND + id);
    assert!((2..9).all(|id| !matches!(admit(id, Informed), Admission::Crashed { .. })));
    assert_eq!(admit(9, Informed), Admission::Crashed { by_informed_senders: true });
    assert_eq!(
        (server.state, server.admit(job(10), Informed, 2 * SECOND)),
        (ServerState::Gone, Admission::Rejected)
    );
    server.restart(9 * SECOND);
    let crash = (0..9)
        .map(|id| server.admit(job(id), if id < 4 { Informed } else { Uninformed }, 9 * SECOND))
        .find(|t| matches!(t, Admission::Crashed { .. }));
    assert_eq!(
        crash,
        Some(Admission::Crashed { by_informed_senders: false }),
        "most load came from uninformed senders"
    );
}
