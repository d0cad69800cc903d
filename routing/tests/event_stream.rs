//! Framing of server-sent events: chunks of any size, ids that must increase, and incomplete events.

use googletest::prelude::*;
use ivyhatch_routing::event_stream::{CompleteEvents, EventStreamParser, StreamError};

fn event(id: u64, data: &str, end: &str) -> String {
    format!("id: {id}{end}data: {data}{end}{end}")
}

/// Feeds `bytes` in chunks of `size` bytes. Returns all complete events and the last id.
fn feed_chunks(
    parser: &mut EventStreamParser,
    bytes: &[u8],
    size: usize,
) -> std::result::Result<CompleteEvents, StreamError> {
    let mut all = CompleteEvents { bytes: Vec::new(), last_id: None };
    for chunk in bytes.chunks(size) {
        if let Some(complete) = parser.feed(chunk)? {
            all.bytes.extend(complete.bytes);
            all.last_id = complete.last_id.or(all.last_id);
        }
    }
    Ok(all)
}

#[gtest]
fn events_are_complete_for_chunks_of_any_size() {
    for end in ["\n", "\r\n"] {
        let text: String = (1..=7).map(|id| event(id * 3, "seven words", end)).collect();
        for size in 1..=text.len() {
            let mut parser = EventStreamParser::default();
            let all = feed_chunks(&mut parser, text.as_bytes(), size).expect("well formed");
            expect_that!(String::from_utf8(all.bytes).expect("text"), eq(&text), "chunks of {size} bytes");
            expect_that!(all.last_id, some(eq(21)));
            expect_that!(parser.is_at_event_boundary(), eq(true));
        }
    }
}

#[gtest]
fn nothing_is_returned_before_an_event_ends() {
    for end in ["\n", "\r\n"] {
        let text = event(1, "x", end);
        let mut parser = EventStreamParser::default();
        for byte in &text.as_bytes()[..text.len() - 1] {
            expect_that!(parser.feed(&[*byte]), ok(none()));
            expect_that!(parser.is_at_event_boundary(), eq(false));
        }
        let last = parser.feed(b"\n").expect("well formed").expect("a complete event");
        expect_that!(last, eq(&CompleteEvents { bytes: text.into_bytes(), last_id: Some(1) }));
        expect_that!(parser.is_at_event_boundary(), eq(true));
    }
}

#[gtest]
fn incomplete_event_is_kept_back() {
    let mut parser = EventStreamParser::default();
    let complete =
        parser.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n").expect("well formed").expect("one event");
    expect_that!(complete, eq(&CompleteEvents { bytes: b"id: 1\ndata: a\n\n".to_vec(), last_id: Some(1) }));
    expect_that!(parser.is_at_event_boundary(), eq(false));
    expect_that!(parser.feed(b""), ok(none()));
    let complete = parser.feed(b"\nid: 3").expect("well formed").expect("the second event");
    expect_that!(complete, eq(&CompleteEvents { bytes: b"id: 2\ndata: b\n\n".to_vec(), last_id: Some(2) }));
    expect_that!(parser.is_at_event_boundary(), eq(false));
}

#[gtest]
fn id_that_does_not_rise_is_an_error() {
    for (first, second) in [(5, 5), (5, 4), (5, 0), (u64::MAX, 1)] {
        let events = event(first, "a", "\n") + &event(second, "b", "\n");
        let expected = StreamError::IdNotIncreasing { id: second, previous: first };
        expect_that!(EventStreamParser::default().feed(events.as_bytes()), err(eq(&expected)));
        let mut parser = EventStreamParser::default();
        expect_that!(
            feed_chunks(&mut parser, events.as_bytes(), 1),
            err(eq(&expected)),
            "in chunks of one byte"
        );
    }
}

#[gtest]
fn resumed_stream_rejects_ids_up_to_its_last_event() {
    expect_that!(
        EventStreamParser::resume_after(Some(7)).feed(event(8, "a", "\n").as_bytes()),
        ok(some(anything()))
    );
    for id in [1, 6, 7] {
        let result = EventStreamParser::resume_after(Some(7)).feed(event(id, "a", "\n").as_bytes());
        expect_that!(result, err(eq(&StreamError::IdNotIncreasing { id, previous: 7 })));
    }
    expect_that!(
        EventStreamParser::resume_after(None).feed(event(0, "a", "\n").as_bytes()),
        ok(some(anything()))
    );
}

#[gtest]
fn event_without_id_leaves_the_last_id_unchanged() {
    let mut parser = EventStreamParser::default();
    let text =
        ["id: 4\n", "data: a\n\n", "versions: 3\ndata: b\n\n", ": a comment\n\n", "id: x\n\n", "\n"].concat();
    let complete = parser.feed(text.as_bytes()).expect("well formed").expect("complete events");
    expect_that!(complete, eq(&CompleteEvents { bytes: text.into_bytes(), last_id: Some(4) }));
    expect_that!(parser.feed(b"data: c\n\n").expect("well formed").expect("one event").last_id, none());
    expect_that!(parser.feed(b"id: 4\n\n"), err(eq(&StreamError::IdNotIncreasing { id: 4, previous: 4 })));
}

#[gtest]
fn id_is_found_on_any_line_with_or_without_space() {
    for text in [
        "versions: 2\nid: 9\ndata: id: 1\n\n",
        "id:9\n\n",
        "id:   9  \r\n\r\n",
        "data: id: 1\r\nid:9\r\n\r\n",
    ] {
        let complete =
            EventStreamParser::default().feed(text.as_bytes()).expect("well formed").expect("one event");
        expect_that!(complete.last_id, some(eq(9)), "{text:?}");
    }
}

#[gtest]
fn event_without_end_is_rejected_as_too_large() {
    let chunk = vec![b'x'; 64 * 1024];
    let mut parser = EventStreamParser::default();
    let error = (0..64).find_map(|_| parser.feed(&chunk).err());
    expect_that!(error, some(eq(StreamError::EventTooLarge)));
}
