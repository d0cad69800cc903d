//! Jobs on the model servers, executed in real time.

use std::rc::Rc;

use ivyhatch_lab::{Admission, Job, SenderKnowledge, StartedJob};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use crate::clock::START;
use crate::run_state::RunState;
use crate::server_processes::stop_server;

/// A queued or running job of a server. Dropping this value before the job is done cancels the job.
pub(crate) struct RunningJob {
    run: Rc<RunState>,
    server: usize,
    id: u64,
    done: oneshot::Receiver<()>,
}

/// The error of a job whose server's process ended before the job was done.
#[derive(Debug)]
pub(crate) struct ServerStopped;

impl RunningJob {
    /// Waits until the job is done.
    pub(crate) async fn finished(&mut self) -> Result<(), ServerStopped> {
        (&mut self.done).await.map_err(|_| ServerStopped)
    }
}

impl Drop for RunningJob {
    fn drop(&mut self) {
        let was_pending = self.run.jobs.borrow_mut().remove(&self.id).is_some();
        if was_pending {
            let next = self.run.servers[self.server].borrow_mut().cancel(self.id, self.run.clock.now());
            carry_out(&self.run, self.server, next);
        }
    }
}

/// Submits a request's work to a server. `None` if the server rejects the work, or is overloaded by it and crashes.
pub(crate) fn submit_request(
    run: &Rc<RunState>,
    server: usize,
    work: f64,
    sender: SenderKnowledge,
) -> Option<RunningJob> {
    let id = run.next_id();
    let admission = run.servers[server].borrow_mut().admit(Job { id, work }, sender, run.clock.now());
    admitted(run, server, id, admission)
}

/// Submits the work of a probe's response to a server. `None` if the server rejects the work.
pub(crate) fn submit_probe(run: &Rc<RunState>, server: usize) -> Option<RunningJob> {
    let id = run.next_id();
    let admission = run.servers[server].borrow_mut().admit_probe(id, run.clock.now());
    admitted(run, server, id, admission)
}

fn admitted(run: &Rc<RunState>, server: usize, id: u64, admission: Admission) -> Option<RunningJob> {
    match admission {
        Admission::Rejected => return None,
        Admission::Crashed { by_informed_senders } => {
            if by_informed_senders {
                run.invariants.borrow_mut().cold_server_crashed(server as u32, run.clock.now());
            }
            stop_server(run, server);
            return None;
        }
        Admission::Started(finishes_at) => carry_out(run, server, Some(StartedJob { id, finishes_at })),
        Admission::Queued => {}
    }
    let (notify_done, done) = oneshot::channel();
    run.jobs.borrow_mut().insert(id, notify_done);
    Some(RunningJob { run: run.clone(), server, id, done })
}

/// Occupies a core with a job until the job's end, then with the server's next queued job.
fn carry_out(run: &Rc<RunState>, server: usize, job: Option<StartedJob>) {
    let Some(StartedJob { id, finishes_at }) = job else { return };
    let run = run.clone();
    spawn_local(async move {
        sleep_until(run.clock.instant(finishes_at.saturating_sub(START))).await;
        let finished = run.servers[server].borrow_mut().finish(id, run.clock.now());
        if finished.was_running
            && let Some(notify_done) = run.jobs.borrow_mut().remove(&id)
        {
            // The send fails if the receiver has just been dropped.
            let _ = notify_done.send(());
        }
        carry_out(&run, server, finished.next);
    });
}
