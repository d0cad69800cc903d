//! Peers for tests that follow a script byte by byte: a server that writes half a response, a discovery service with a
//! malformed list, a client that sends nothing. The peers use threads and blocking sockets, so that the steps of a test are in
//! sequence, and panic when an awaited event does not occur within [`TEST_TIMEOUT`].

mod backend;
mod client;
mod discovery;
mod message;

use std::thread;
use std::time::Duration;

pub use backend::{Backend, BackendReply, FullBacklogListener, Gate, ok, status};
pub use client::Client;
pub use discovery::Discovery;
pub use message::{Header, Message, read_message};

/// Time after which a wait panics and so fails the test.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two checks of a condition in [`wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits until a condition holds.
///
/// # Panics
/// If the condition does not hold within [`TEST_TIMEOUT`]; `what` describes the condition in the panic message.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..TEST_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if condition() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("condition not met within {TEST_TIMEOUT:?}: {what}");
}
