//! The resource usage of the nodes' processes, read from `/proc`.

use std::rc::Rc;
use std::time::Duration;

use ivyhatch_lab::ResourceUsage;
use procfs::process::Process;
use tokio::process::Child;
use tokio::time::sleep;

use crate::run_state::{PeakUsage, RunState};

/// Limit of the number of sockets of each node.
pub(crate) const SOCKET_LIMIT: u64 = 1024;
/// Limit of each node's memory, in megabytes.
pub(crate) const MEMORY_LIMIT_MB: u64 = 192;
/// Descriptors that a process needs in addition to sockets: standard streams, the event queue, and a file that is read.
const OTHER_DESCRIPTORS: u64 = 16;
const KILOBYTES_PER_MEGABYTE: u64 = 1024;
/// Time between two measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(100);

/// Measures all nodes periodically. The future never completes.
pub(crate) async fn watch(run: Rc<RunState>) {
    loop {
        for node in 0..run.nodes.len() {
            measure(&run, node);
        }
        sleep(MEASUREMENT_INTERVAL).await;
    }
}

fn measure(run: &RunState, node: usize) {
    let id = run.nodes[node].borrow().process.as_ref().and_then(Child::id);
    // A process that has just ended has no entry in `/proc` any more.
    let Some(process) = id.and_then(|id| Process::new(id as i32).ok()) else { return };
    let (Ok(descriptors), Ok(status)) = (process.fd_count(), process.status()) else { return };
    let (descriptors, memory_kb) = (descriptors as u64, status.vmhwm.unwrap_or(0));
    let peak = run.peak_usage.get();
    run.peak_usage.set(PeakUsage {
        descriptors: peak.descriptors.max(descriptors),
        memory_kb: peak.memory_kb.max(memory_kb),
    });
    let limit = SOCKET_LIMIT + OTHER_DESCRIPTORS;
    let descriptors = ResourceUsage { resource: "descriptors", used: descriptors, limit };
    let limit = MEMORY_LIMIT_MB * KILOBYTES_PER_MEGABYTE;
    let memory = ResourceUsage { resource: "kilobytes of memory", used: memory_kb, limit };
    let now = run.clock.now();
    let mut invariants = run.invariants.borrow_mut();
    invariants.resource_used(node, descriptors, now);
    invariants.resource_used(node, memory, now);
}
