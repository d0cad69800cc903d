//! The prompt of a request as described by the request's headers: segments that several requests may share, and token counts.

use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};

/// A part of a prompt. Two requests share a prefix if their first segments have the same ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of the model and of the segment's id in the header: models do not share caches.
    pub id: u64,
    /// The length of the segment in tokens.
    pub tokens: u32,
}

/// A prompt; the default value is used for a request without prompt headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The segments in order. The last segment is used by this request only.
    pub segments: Vec<PromptSegment>,
    /// The length of the prompt in tokens.
    pub tokens: u32,
    /// The maximum number of output tokens.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Parses the prompt headers. `prefix` is a comma-separated list of `ID:TOKENS` with a hexadecimal id; `counts` is the number of
    /// prompt tokens and the maximum number of output tokens. The headers are hints: parts that cannot be parsed are ignored, and a
    /// missing number of prompt tokens defaults to the total of the segments.
    pub fn from_headers(model: &str, prefix: Option<&str>, counts: Option<&str>) -> Self {
        let model_hash = fnv1a_hash(model.as_bytes());
        let segments: Vec<PromptSegment> = prefix
            .unwrap_or_default()
            .split(',')
            .filter_map(|text| parse_segment(model_hash, text))
            .collect();
        let mut counts = counts.unwrap_or_default().split(',').map(|text| text.trim().parse::<u32>().ok());
        let tokens = counts.next().flatten().unwrap_or_else(|| total_tokens(&segments));
        let max_output_tokens = counts.next().flatten().unwrap_or(0);
        Self { segments, tokens, max_output_tokens }
    }

    /// The number of tokens that are not shared with other requests: those of the last segment, or of the whole prompt if it has no
    /// segments.
    pub fn unshared_tokens(&self) -> u32 {
        self.segments.last().map_or(self.tokens, |segment| segment.tokens)
    }

    /// The id of the last shared segment: requests with the same key prefer the same server, so that its prefix cache is used. `None`
    /// if the request has no shared segment.
    pub fn affinity_key(&self) -> Option<u64> {
        let index = self.segments.len().checked_sub(2)?;
        self.segments.get(index).map(|segment| segment.id)
    }
}

/// The total number of tokens of the segments. Saturates, since the counts come from request headers.
pub(crate) fn total_tokens<'a>(segments: impl IntoIterator<Item = &'a PromptSegment>) -> u32 {
    segments.into_iter().fold(0, |sum: u32, segment| sum.saturating_add(segment.tokens))
}

fn parse_segment(model_hash: u64, text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = hash_mix(u64::from_str_radix(id, 16).ok()? ^ model_hash);
    Some(PromptSegment { id, tokens: tokens.parse().ok()? })
}
