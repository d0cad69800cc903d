//! Observes a client's socket: tracks the connection's state, and detects repeated `content-length` headers, which the HTTP
//! parser does not report.

use std::rc::Rc;

use super::connection::ClientConnection;
use crate::stream_observer::StreamObserver;

/// How much of a request's head is searched for `content-length`; the parser accepts no longer head.
const MAX_OBSERVED_HEAD_BYTES: usize = 32 * 1024;
const CONTENT_LENGTH: &[u8] = b"content-length:";

/// Updates a [`ClientConnection`] at each read and flush of its socket.
pub struct RequestHeadObserver {
    connection: Rc<ClientConnection>,
    /// What has arrived of a request's head; `None` while no head is arriving.
    head: Option<Vec<u8>>,
}

impl RequestHeadObserver {
    /// An observer that reports to `connection`.
    pub fn new(connection: Rc<ClientConnection>) -> Self {
        Self { connection, head: None }
    }

    pub(super) fn connection(&self) -> &ClientConnection {
        &self.connection
    }
}

impl StreamObserver for RequestHeadObserver {
    fn on_read(&mut self, bytes: &[u8]) {
        if self.connection.bytes_received() {
            self.head = Some(Vec::new());
        }
        let Some(head) = &mut self.head else { return };
        // The end of the head may be split between two reads.
        let search_from = head.len().saturating_sub(3);
        head.extend_from_slice(bytes);
        if contains_head_end(&head[search_from..]) || head.len() > MAX_OBSERVED_HEAD_BYTES {
            self.connection.set_duplicate_content_length(content_length_count(head) > 1);
            self.head = None;
        }
    }

    fn on_flush(&mut self) {
        self.connection.writes_flushed();
    }
}

fn contains_head_end(bytes: &[u8]) -> bool {
    bytes.windows(4).any(|window| window == b"\r\n\r\n" || window[2..] == *b"\n\n")
}

fn content_length_count(head: &[u8]) -> usize {
    let is_content_length = |line: &&[u8]| {
        line.get(..CONTENT_LENGTH.len()).is_some_and(|name| name.eq_ignore_ascii_case(CONTENT_LENGTH))
    };
    let end = head.windows(4).position(|window| window == b"\r\n\r\n").unwrap_or(head.len());
    head[..end].split(|byte| *byte == b'\n').filter(is_content_length).count()
}
