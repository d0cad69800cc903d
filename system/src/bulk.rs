//! Large messages, encoded once for all who get them.

use std::collections::VecDeque;
use std::rc::Rc;

use ivyhatch_protocol::frame;
use ivyhatch_protocol::watch::WatchResponse;

/// Messages whose frames are kept: the followers that are told of one change are told at the same time, and few are further behind.
const KEPT: usize = 4;

/// The fragments of one message, each a frame.
pub type Fragments = Rc<[Rc<Vec<u8>>]>;

/// The frames of the messages that were encoded last.
#[derive(Default)]
pub struct BulkFrames {
    kept: VecDeque<(WatchResponse, Fragments)>,
}

impl BulkFrames {
    /// The frames of a message.
    pub fn of(&mut self, message: &WatchResponse) -> Fragments {
        let known = self.kept.iter().find(|(of, _)| is_same(of, message));
        if let Some((_, fragments)) = known {
            return fragments.clone();
        }
        let fragments: Fragments = frame::encode_fragments(message).into_iter().map(Rc::new).collect();
        self.kept.push_back((message.clone(), fragments.clone()));
        if self.kept.len() > KEPT {
            self.kept.pop_front();
        }
        fragments
    }
}

/// Whether two messages are clones of one. Looks at what they share, not at what it says.
fn is_same(one: &WatchResponse, other: &WatchResponse) -> bool {
    match (one, other) {
        (
            WatchResponse::Snapshot { sequence, document },
            WatchResponse::Snapshot { sequence: other_sequence, document: other_document },
        ) => sequence == other_sequence && document.ptr_eq(other_document),
        (
            WatchResponse::Change { from, to, change },
            WatchResponse::Change { from: other_from, to: other_to, change: other_change },
        ) => (from, to) == (other_from, other_to) && change.ptr_eq(other_change),
        _ => false,
    }
}
