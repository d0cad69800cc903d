//! The send queues of the open watch sessions, on which routers receive the configuration and the server list.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use ivyhatch_control::SessionId;
use ivyhatch_protocol::watch::WatchResponse;

use crate::transport::frame_cache::FrameCache;
use crate::transport::writer::{BulkPacer, SendQueue, Writer};

/// The open watch sessions. The task of a session owns its [`SendQueue`]; removing the writer from the table ends the task.
pub struct WatchSessions {
    writers: RefCell<BTreeMap<SessionId, Writer>>,
    frame_cache: RefCell<FrameCache>,
    pacer: Rc<BulkPacer>,
}

impl WatchSessions {
    /// Creates an empty table. `link_bytes_per_second` is the bandwidth of the machine's link, which limits the rate of bulk messages;
    /// `None` if the bandwidth is unknown.
    pub fn new(link_bytes_per_second: Option<f64>) -> Self {
        Self {
            writers: RefCell::default(),
            frame_cache: RefCell::default(),
            pacer: Rc::new(BulkPacer::new(link_bytes_per_second)),
        }
    }

    /// Opens a session, and returns the queue of messages to be written to its connection.
    pub fn open(&self, id: SessionId) -> SendQueue {
        let (writer, queue) = Writer::new(self.pacer.clone());
        self.writers.borrow_mut().insert(id, writer);
        queue
    }

    /// Closes a session; its task ends. Does nothing if the session is closed already.
    pub fn close(&self, id: SessionId) {
        self.writers.borrow_mut().remove(&id);
    }

    /// Queues a message on a session. Closes the session if its queue is full because the router does not read.
    pub fn send(&self, id: SessionId, message: &WatchResponse) {
        let sent = self.writers.borrow().get(&id).map(|writer| self.queue(writer, message));
        if sent == Some(false) {
            self.close(id);
        }
    }

    /// Queues a message as bulk or as a small message. Snapshots and changes of the configuration are both bulk, so that they keep their
    /// order. Returns false if the connection has ended or its queue is full.
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
