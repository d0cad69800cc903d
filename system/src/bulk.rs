//! Large messages, encoded once for all who get them.

use std::collections::VecDeque;
use std::rc::Rc;

use ivyhatch_protocol::feed::ToFollower;
use ivyhatch_protocol::frame;

/// Messages whose frames are kept: the followers that are told of one change are told at the same time, and few are further behind.
const KEPT: usize = 4;

/// The fragments of one message, each a frame.
pub type Fragments = Rc<[Rc<Vec<u8>>]>;

/// The frames of the messages that were encoded last.
#[derive(Default)]
pub struct BulkFrames {
    kept: VecDeque<(ToFollower, Fragments)>,
}

impl BulkFrames {
    /// The frames of a message.
    pub fn of(&mut self, message: &ToFollower) -> Fragments {
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
fn is_same(one: &ToFollower, other: &ToFollower) -> bool {
    match (one, other) {
        (
            ToFollower::Whole { sequence, document },
            ToFollower::Whole { sequence: other_sequence, document: other_document },
        ) => sequence == other_sequence && document.is_same(other_document),
        (
            ToFollower::Change { from, to, change },
            ToFollower::Change { from: other_from, to: other_to, change: other_change },
        ) => (from, to) == (other_from, other_to) && change.is_same(other_change),
        _ => false,
    }
}
