//! What the nodes' processes take of the system, as the system says it: their own word counts for nothing here.

use std::rc::Rc;
use std::time::Duration;

use procfs::process::Process;
use tokio::time::sleep;

use crate::stage::Stage;

/// What each node is given.
pub(crate) const SOCKETS: u64 = 1024;
pub(crate) const MEMORY_MB: u64 = 192;
/// Descriptors that a process needs beside its sockets: its streams, the selector's, a file that it reads.
const OTHERS: u64 = 16;

/// Looks at all nodes for as long as it is polled.
pub(crate) async fn watch(stage: Rc<Stage>) {
    loop {
        for node in 0..stage.nodes.len() {
            look(&stage, node);
        }
        sleep(Duration::from_millis(100)).await;
    }
}

fn look(stage: &Stage, node: usize) {
    let id = stage.nodes[node].borrow().child.as_ref().and_then(tokio::process::Child::id);
    // One that has just died shows nothing any more.
    let Some(process) = id.and_then(|id| Process::new(id as i32).ok()) else { return };
    let (Ok(descriptors), Ok(status)) = (process.fd_count(), process.status()) else { return };
    let (descriptors, memory_kb) = (descriptors as u64, status.vmhwm.unwrap_or(0));
    let (most_descriptors, most_memory_kb) = stage.most_used.get();
    stage.most_used.set((most_descriptors.max(descriptors), most_memory_kb.max(memory_kb)));
    let (mut oracle, now) = (stage.oracle.borrow_mut(), stage.now());
    oracle.holds(node, "descriptors", descriptors, SOCKETS + OTHERS, now);
    oracle.holds(node, "kilobytes of memory", memory_kb, MEMORY_MB * 1024, now);
}
