//! A request's prompt as its headers describe it: segments that requests may share, and counts of tokens.

use ivyhatch_protocol::hash::{fnv1a_hash, hash_mix};

/// A part of a prompt. Two requests share a prefix where their first segments have the same ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSegment {
    /// Hash of the segment's id and the model: models do not share caches.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A prompt; the default is that of a request without headers of this kind.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Its segments, in order. The last one is the request's own.
    pub segments: Vec<PromptSegment>,
    /// Its length in tokens.
    pub tokens: u32,
    /// The most tokens to be decoded.
    pub max_output_tokens: u32,
}

impl Prompt {
    /// Parses the headers: `prefix` as `ID:TOKENS`, separated by commas, with the id in hexadecimal; `counts` as prompt tokens and
    /// output tokens. The headers are advice: what can't be parsed is left out, and a missing length is that of all segments.
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

    /// Tokens of the last segment, which no other request shares.
    pub fn unshared_tokens(&self) -> u32 {
        self.segments.last().map_or(self.tokens, |segment| segment.tokens)
    }

    /// The segment by which requests are kept together for the prefix cache: the last one that others share. None where there is no
    /// segment but the request's own.
    pub fn affinity_key(&self) -> Option<u64> {
        let index = self.segments.len().checked_sub(2)?;
        self.segments.get(index).map(|segment| segment.id)
    }
}

/// The sum of the segments' tokens; it does not overflow, whatever the headers say.
pub(crate) fn total_tokens<'a>(segments: impl IntoIterator<Item = &'a PromptSegment>) -> u32 {
    segments.into_iter().fold(0, |sum: u32, segment| sum.saturating_add(segment.tokens))
}

fn parse_segment(model_hash: u64, text: &str) -> Option<PromptSegment> {
    let (id, tokens) = text.trim().split_once(':')?;
    let id = hash_mix(u64::from_str_radix(id, 16).ok()? ^ model_hash);
    Some(PromptSegment { id, tokens: tokens.parse().ok()? })
}
