//! A prompt's parts, and where they are kept: a part that a server keeps is not read again there, provided every part before it is
//! kept as well.

use std::collections::HashMap;

use ivyhatch_protocol::ids::hash_mix;
use ivyhatch_protocol::{Nanos, SECOND};

/// Parts that are remembered of a server.
const MOST_PARTS: usize = 4096;
/// A part that was not used for so long is taken for forgotten.
const FORGOTTEN: Nanos = 90 * SECOND;

/// What a request says of its prompt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    /// Its parts, in order: a number of each one's own, and its tokens.
    pub parts: Vec<(u64, u32)>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// The most tokens that are put out.
    pub out: u32,
}

impl Prompt {
    /// Reads the headers: `prefix` as ID:TOKENS, comma-separated, with the ID in hex; `counts` as prompt,out. What can't be read
    /// is left out; it is advice.
    pub fn from_headers(model: &str, prefix: Option<&str>, counts: Option<&str>) -> Self {
        let model = ivyhatch_protocol::ids::fnv1a_hash(model.as_bytes());
        let part = |text: &str| {
            let (id, tokens) = text.trim().split_once(':')?;
            Some((hash_mix(u64::from_str_radix(id, 16).ok()? ^ model), tokens.parse().ok()?))
        };
        let parts: Vec<(u64, u32)> = prefix.unwrap_or("").split(',').filter_map(part).collect();
        let mut counts = counts.unwrap_or("").split(',').map(|text| text.trim().parse::<u32>().ok());
        let listed = parts.iter().fold(0, |sum: u32, (_, tokens)| sum.saturating_add(*tokens));
        let tokens = counts.next().flatten().unwrap_or(listed);
        Self { parts, tokens, out: counts.next().flatten().unwrap_or(0) }
    }

    /// Tokens of its own: of the last part, which no other request shares.
    pub fn own(&self) -> u32 {
        self.parts.last().map_or(self.tokens, |(_, tokens)| *tokens)
    }

    /// The part by which its requests are best kept together: the last one that others share.
    pub fn affinity_key(&self) -> Option<u64> {
        let last = self.parts.len().checked_sub(2)?;
        self.parts.get(last).map(|(id, _)| *id)
    }
}

/// What a server keeps, as far as it is known from own sends.
#[derive(Debug, Default)]
pub struct PrefixCache(HashMap<u64, Nanos>);

impl PrefixCache {
    /// Tokens of a prompt that have to be read there.
    pub fn unread(&self, now: Nanos, prompt: &Prompt) -> u32 {
        let kept = prompt
            .parts
            .iter()
            .take_while(|(id, _)| self.0.get(id).is_some_and(|used| now < used.saturating_add(FORGOTTEN)));
        let kept = kept.fold(0, |sum: u32, (_, tokens)| sum.saturating_add(*tokens));
        prompt.tokens.saturating_sub(kept)
    }

    /// A prompt has been read there.
    pub fn read(&mut self, now: Nanos, prompt: &Prompt) {
        for (id, _) in &prompt.parts {
            self.0.insert(*id, now);
        }
        if self.0.len() > MOST_PARTS {
            let mut used: Vec<Nanos> = self.0.values().copied().collect();
            let middle = used.len() / 2;
            let (_, median, _) = used.select_nth_unstable(middle);
            let median = *median;
            self.0.retain(|_, used| *used > median || *used == now);
            if self.0.len() > 2 * MOST_PARTS {
                self.0.clear();
            }
        }
    }
}
