//! The send queues of open watch sessions: routers that follow the configuration and the server list.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use ivyhatch_control::SessionId;
use ivyhatch_protocol::watch::WatchResponse;

use crate::transport::frame_cache::FrameCache;
use crate::transport::writer::{BulkPacer, SendQueue, Writer};

/// Open sessions. A session's task owns its [`SendQueue`]; removing the writer here makes the task end.
pub struct WatchSessions {
    writers: RefCell<BTreeMap<SessionId, Writer>>,
    frame_cache: RefCell<FrameCache>,
    pacer: Rc<BulkPacer>,
}

impl WatchSessions {
    /// No sessions yet, on a machine with a link of this rate, in bytes a second.
    pub fn new(link_bytes_per_second: Option<f64>) -> Self {
        Self {
            writers: RefCell::default(),
            frame_cache: RefCell::default(),
            pacer: Rc::new(BulkPacer::new(link_bytes_per_second)),
        }
    }

    /// Opens a session, and returns the queue of what is sent on it.
    pub fn open(&self, id: SessionId) -> SendQueue {
        let (writer, queue) = Writer::new(self.pacer.clone());
        self.writers.borrow_mut().insert(id, writer);
        queue
    }

    /// Closes a session.
    pub fn close(&self, id: SessionId) {
        self.writers.borrow_mut().remove(&id);
    }

    /// Queues a message on a session; closes the session where its router does not read.
    pub fn send(&self, id: SessionId, message: &WatchResponse) {
        let sent = self.writers.borrow().get(&id).map(|writer| self.queue(writer, message));
        if sent == Some(false) {
            self.close(id);
        }
    }

    /// Snapshots and changes are bulk, both of them: so changes of the configuration keep their order.
    fn queue(&self, writer: &Writer, message: &WatchResponse) -> bool {
        match message {
            WatchResponse::Snapshot { .. } | WatchResponse::Change { .. } => {
                writer.send_bulk(&self.frame_cache.borrow_mut().fragments(message))
            }
            WatchResponse::ServerListChange(_) => {
                let frame = self.frame_cache.borrow_mut().frame(message);
                frame.is_none_or(|frame| writer.send_frame(frame))
            }
            _ => writer.send(message),
        }
    }
}
