//! Framing of a streamed response into server-sent events (WHATWG HTML, section 9.2.5 "Parsing an event stream").
//!
//! Only complete events are passed on, so that a stream that breaks off within one can be resumed at another server after the last
//! complete one. Lines end with LF or CRLF; the standard's CR alone is not used by the servers. An `id` is a number, and the ids of
//! a stream rise: that is what makes a stream resumable, and is asked for beyond the standard.

/// The longest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Complete events, as they came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// Their bytes.
    pub bytes: Vec<u8>,
    /// The id of the last event among them that has one.
    pub last_id: Option<u64>,
}

/// Why a stream can't be passed on any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event's id is not above that of an earlier one: to resume by it would repeat or lose events.
    #[error("an event has id {id} after {previous}: the server is not to be trusted with this stream")]
    IdNotIncreasing {
        /// The id of the event.
        id: u64,
        /// The highest id before it.
        previous: u64,
    },
    /// An event does not end within the limit.
    #[error("an event of over {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
}

/// Collects the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventStreamParser {
    incomplete: Vec<u8>,
    last_id: Option<u64>,
}

impl EventStreamParser {
    /// A parser of a stream that is resumed after the event with this id.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { incomplete: Vec::new(), last_id }
    }

    /// Whether no bytes have come since the last complete event. A stream that ends elsewhere has broken off, even where the HTTP
    /// message is complete (RFC 9112, section 8).
    pub fn is_at_event_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Takes bytes in. Returns the events that they complete, if any.
    ///
    /// # Errors
    /// [`StreamError`] where the stream has to be abandoned; the parser is of no further use then.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<CompleteEvents>, StreamError> {
        self.incomplete.extend_from_slice(bytes);
        let (mut complete_bytes, mut last_id) = (0, None);
        while let Some(length) = event_length(&self.incomplete[complete_bytes..]) {
            let event = &self.incomplete[complete_bytes..complete_bytes + length];
            if let Some(id) = event_id(event) {
                self.check_id(id)?;
                (self.last_id, last_id) = (Some(id), Some(id));
            }
            complete_bytes += length;
        }
        if self.incomplete.len() - complete_bytes > MAX_EVENT_BYTES {
            return Err(StreamError::EventTooLarge);
        }
        if complete_bytes == 0 {
            return Ok(None);
        }
        let incomplete = self.incomplete.split_off(complete_bytes);
        let bytes = std::mem::replace(&mut self.incomplete, incomplete);
        Ok(Some(CompleteEvents { bytes, last_id }))
    }

    fn check_id(&self, id: u64) -> Result<(), StreamError> {
        match self.last_id.filter(|previous| id <= *previous) {
            Some(previous) => Err(StreamError::IdNotIncreasing { id, previous }),
            None => Ok(()),
        }
    }
}

/// The length of the first event with the empty line that ends it; none where it has not ended.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line.strip_suffix(b"\r").unwrap_or(line).is_empty() {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

/// The number in the event's first `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let value = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
