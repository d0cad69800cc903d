//! A router's estimate of the contents of a model server's prefix (KV) cache. The server does not prefill a cached segment of a prompt
//! again if every segment before it is cached as well.

use std::collections::HashMap;

use ivyhatch_protocol::{Nanos, SECOND};

use crate::prompt::{Prompt, PromptSegment, total_tokens};

/// The number of segments per server above which the least recently used half is evicted.
const MAX_SEGMENTS: usize = 4096;
/// Time since a segment was last used after which the server is assumed to have evicted it.
const SEGMENT_LIFETIME: Nanos = 90 * SECOND;

/// The segments that a server has presumably cached, derived from this router's own requests to it.
#[derive(Debug, Default)]
pub struct PrefixCache {
    last_used_at: HashMap<u64, Nanos>,
}

impl PrefixCache {
    /// The number of tokens of a prompt that the server has to prefill.
    pub fn uncached_tokens(&self, now: Nanos, prompt: &Prompt) -> u32 {
        let cached_prefix = prompt.segments.iter().take_while(|segment| self.is_cached(now, segment));
        prompt.tokens.saturating_sub(total_tokens(cached_prefix))
    }

    /// Records that the server has prefilled a prompt.
    pub fn insert(&mut self, now: Nanos, prompt: &Prompt) {
        for segment in &prompt.segments {
            self.last_used_at.insert(segment.id, now);
        }
        if self.last_used_at.len() > MAX_SEGMENTS {
            self.evict_older_half(now);
        }
    }

    fn is_cached(&self, now: Nanos, segment: &PromptSegment) -> bool {
        let last_used_at = self.last_used_at.get(&segment.id);
        last_used_at.is_some_and(|used_at| now < used_at.saturating_add(SEGMENT_LIFETIME))
    }

    fn evict_older_half(&mut self, now: Nanos) {
        let mut used_at: Vec<Nanos> = self.last_used_at.values().copied().collect();
        let middle = used_at.len() / 2;
        let (_, median, _) = used_at.select_nth_unstable(middle);
        let median = *median;
        self.last_used_at.retain(|_, used_at| *used_at > median || *used_at == now);
        // The segments used at `now` are all kept, and a prompt may have any number of them: if twice the limit is still exceeded, the
        // whole estimate is dropped.
        if self.last_used_at.len() > 2 * MAX_SEGMENTS {
            self.last_used_at.clear();
        }
    }
}
