//! A cache of encoded watch messages, shared by all connections on which the same message is sent.
//!
//! Owned by the control role's host and used in its single thread. Holds the frames of the last `CACHED_MESSAGES` messages; send queues
//! have references of their own to the frames that they hold, which are not affected by eviction.

use std::collections::VecDeque;
use std::rc::Rc;

use ivyhatch_protocol::frame;
use ivyhatch_protocol::watch::WatchResponse;

/// Maximum number of cached messages. Few are enough: all watch clients get a change at the same time, and few are further behind.
const CACHED_MESSAGES: usize = 4;

/// The frames of one message: its fragments, or a single frame.
pub type Fragments = Rc<[Rc<Vec<u8>>]>;

/// The frames of the most recently encoded messages, oldest first.
#[derive(Default)]
pub struct FrameCache {
    entries: VecDeque<(WatchResponse, Fragments)>,
}

impl FrameCache {
    /// Returns the fragments of a message. Encodes the message if its fragments are not cached.
    pub fn fragments(&mut self, message: &WatchResponse) -> Fragments {
        self.cached_or(message, frame::encode_fragments)
    }

    /// Returns the message as one frame. Encodes the message if its frame is not cached.
    pub fn frame(&mut self, message: &WatchResponse) -> Option<Rc<Vec<u8>>> {
        self.cached_or(message, |message| vec![frame::encode(message)]).first().cloned()
    }

    fn cached_or(
        &mut self,
        message: &WatchResponse,
        encode: impl FnOnce(&WatchResponse) -> Vec<Vec<u8>>,
    ) -> Fragments {
        let cached = self.entries.iter().find(|(cached, _)| shares_content(cached, message));
        if let Some((_, fragments)) = cached {
            return fragments.clone();
        }
        let fragments: Fragments = encode(message).into_iter().map(Rc::new).collect();
        self.entries.push_back((message.clone(), fragments.clone()));
        if self.entries.len() > CACHED_MESSAGES {
            self.entries.pop_front();
        }
        fragments
    }
}

/// Whether two messages are clones of the same message. Compares pointers to the shared content, as comparing the content itself would
/// cost as much as encoding it.
fn shares_content(one: &WatchResponse, other: &WatchResponse) -> bool {
    match (one, other) {
        (
            WatchResponse::Snapshot { sequence, document },
            WatchResponse::Snapshot { sequence: other_sequence, document: other_document },
        ) => sequence == other_sequence && document.ptr_eq(other_document),
        (
            WatchResponse::Change { from, to, change },
            WatchResponse::Change { from: other_from, to: other_to, change: other_change },
        ) => (from, to) == (other_from, other_to) && change.ptr_eq(other_change),
        (WatchResponse::ServerListChange(change), WatchResponse::ServerListChange(other)) => {
            change.ptr_eq(other)
        }
        _ => false,
    }
}
