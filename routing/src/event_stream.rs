//! A streamed answer, event by event: only whole events are passed on, so that a stream that breaks off inside one can go on at
//! another server behind the last whole one.

/// A part of a stream that may be passed on: whole events, as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// The id of the last event in them that has one.
    pub last_id: Option<u64>,
}

/// What is wrong with a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// Its ids do not rise.
    #[error("an event has id {id} behind {previous}: the server is not to be trusted with this stream")]
    IdNotIncreasing {
        /// The id that came.
        id: u64,
        /// The one before.
        previous: u64,
    },
    /// An event that does not end.
    #[error("an event of over {LONGEST} bytes")]
    EventTooLarge,
}

/// No event is longer, in bytes.
const LONGEST: usize = 1 << 20;

/// Takes a stream in as it comes.
#[derive(Debug, Default)]
pub struct EventStreamParser {
    rest: Vec<u8>,
    last: Option<u64>,
}

impl EventStreamParser {
    /// A stream that goes on behind an event.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { rest: Vec::new(), last }
    }

    /// Whether nothing has come since the last whole event.
    pub fn is_at_event_boundary(&self) -> bool {
        self.rest.is_empty()
    }

    /// Takes some bytes in; returns the whole events that they complete, if any.
    ///
    /// # Errors
    /// Where the stream can't be right.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, StreamError> {
        self.rest.extend_from_slice(bytes);
        let (mut done, mut last_id) = (0, None);
        while let Some(length) = event_length(&self.rest[done..]) {
            if let Some(id) = event_id(&self.rest[done..done + length]) {
                if let Some(last) = self.last.filter(|last| id <= *last) {
                    return Err(StreamError::IdNotIncreasing { id, previous: last });
                }
                (self.last, last_id) = (Some(id), Some(id));
            }
            done += length;
        }
        if self.rest.len() - done > LONGEST {
            return Err(StreamError::EventTooLarge);
        }
        if done == 0 {
            return Ok(None);
        }
        let rest = self.rest.split_off(done);
        let bytes = std::mem::replace(&mut self.rest, rest);
        Ok(Some(CompleteEvents { bytes, last_id }))
    }
}

/// The length of the first event, its empty line included.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let text = bytes[line..at].strip_suffix(b"\r").unwrap_or(&bytes[line..at]);
        if text.is_empty() {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
