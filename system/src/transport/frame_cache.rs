//! The encoded form of large watch messages, shared by all connections that get the same message.
//!
//! Owned by the control role's host and used in its single thread. Holds the fragments of the last `CACHED_MESSAGES` messages; a
//! send queue that still holds evicted fragments keeps them alive by its own reference.

use std::collections::VecDeque;
use std::rc::Rc;

use ivyhatch_protocol::frame;
use ivyhatch_protocol::watch::WatchResponse;

/// Messages whose fragments are cached. All watch clients get a change at the same time, and few are further behind.
const CACHED_MESSAGES: usize = 4;

/// The fragments of one message, each an encoded frame.
pub type Fragments = Rc<[Rc<Vec<u8>>]>;

/// The frames of the messages that were encoded last, oldest first.
#[derive(Default)]
pub struct FrameCache {
    entries: VecDeque<(WatchResponse, Fragments)>,
}

impl FrameCache {
    /// The fragments of a message, encoded unless they are cached.
    pub fn fragments(&mut self, message: &WatchResponse) -> Fragments {
        self.cached_or(message, frame::encode_fragments)
    }

    /// The message as one frame, encoded unless it is cached.
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

/// Whether two messages are clones of one. Compares pointers to the shared content, as comparing the content would cost as much as
/// encoding it.
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
