//! Framing of a streamed response into server-sent events (WHATWG HTML, section 9.2.5 "Parsing an event stream").
//!
//! Only complete events are forwarded, so that a stream that breaks off within an event can be resumed at another server after the
//! last complete event. Lines end with LF or CRLF; a CR alone, which the standard also allows, is not supported because the servers
//! do not send it. Beyond the standard, each `id` must be a number and the ids of a stream must increase: a stream is resumed by id.

/// The maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Consecutive complete events, byte for byte as the server sent them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events, each with its terminating empty line.
    pub bytes: Vec<u8>,
    /// The id of the last of these events that has an id; `None` if no event has one.
    pub last_id: Option<u64>,
}

/// The reason why a stream cannot be forwarded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The id of an event is not greater than that of an earlier event: resuming by id would repeat or lose events.
    #[error("event id {id} is not greater than the previous id {previous}: the stream cannot be resumed")]
    IdNotIncreasing {
        /// The id of the event.
        id: u64,
        /// The highest id of the earlier events.
        previous: u64,
    },
    /// An event does not end within the maximum length.
    #[error("event does not end within the limit of {MAX_EVENT_BYTES} bytes")]
    EventTooLarge,
}

/// Incremental parser that splits the bytes of a stream into events.
#[derive(Debug, Default)]
pub struct EventStreamParser {
    /// The bytes received after the last complete event.
    incomplete: Vec<u8>,
    /// The id of the last event that has one, or of the event after which the stream is resumed.
    last_id: Option<u64>,
}

impl EventStreamParser {
    /// Creates a parser for a stream that is resumed after the event with the id `last_id`, or that starts from the beginning if
    /// `last_id` is `None`.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { incomplete: Vec::new(), last_id }
    }

    /// Whether no bytes have been received since the last complete event. A stream that ends within an event is truncated, even if
    /// the HTTP message is complete (RFC 9112, section 8).
    pub fn is_at_event_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Parses further bytes of the stream. Returns the events that these bytes complete, if any.
    ///
    /// # Errors
    /// [`StreamError`] if the stream has to be aborted; the parser must not be used after that.
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

/// The length of the first event, including the empty line that ends it; `None` if that line is not in `bytes`.
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

/// The value of the event's first `id` field; `None` if there is no such field or its value is not a number.
fn event_id(event: &[u8]) -> Option<u64> {
    let value = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
