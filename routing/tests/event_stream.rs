//! A streamed answer, event by event: pieces of any size, ids that must rise, and what has not ended.

use googletest::prelude::*;
use ivyhatch_routing::event_stream::{CompleteEvents, EventStreamParser, StreamError};

fn event(id: u64, data: &str, end: &str) -> String {
    format!("id: {id}{end}data: {data}{end}{end}")
}

/// Feeds pieces of this size; tells all that was passed on and the last id.
fn passed(
    events: &mut EventStreamParser,
    bytes: &[u8],
    size: usize,
) -> std::result::Result<CompleteEvents, StreamError> {
    let mut all = CompleteEvents { bytes: Vec::new(), last_id: None };
    for piece in bytes.chunks(size) {
        if let Some(passed) = events.feed(piece)? {
            all.bytes.extend(passed.bytes);
            all.last_id = passed.last_id.or(all.last_id);
        }
    }
    Ok(all)
}

#[gtest]
fn events_come_whole_from_pieces_of_any_size() {
    for end in ["\n", "\r\n"] {
        let text: String = (1..=7).map(|id| event(id * 3, "seven words", end)).collect();
        for size in 1..=text.len() {
            let mut events = EventStreamParser::default();
            let all = passed(&mut events, text.as_bytes(), size).expect("sound");
            expect_that!(String::from_utf8(all.bytes).expect("text"), eq(&text), "{size}");
            expect_that!(all.last_id, some(eq(21)));
            expect_that!(events.is_at_event_boundary(), eq(true));
        }
    }
}

#[gtest]
fn nothing_is_passed_on_before_an_event_ends() {
    for end in ["\n", "\r\n"] {
        let text = event(1, "x", end);
        let mut events = EventStreamParser::default();
        for byte in &text.as_bytes()[..text.len() - 1] {
            expect_that!(events.feed(&[*byte]), ok(none()));
            expect_that!(events.is_at_event_boundary(), eq(false));
        }
        let last = events.feed(b"\n").expect("sound").expect("a whole event");
        expect_that!(last, eq(&CompleteEvents { bytes: text.into_bytes(), last_id: Some(1) }));
        expect_that!(events.is_at_event_boundary(), eq(true));
    }
}

#[gtest]
fn an_event_that_has_not_ended_stays_behind() {
    let mut events = EventStreamParser::default();
    let came = events.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n").expect("sound").expect("one event");
    expect_that!(came, eq(&CompleteEvents { bytes: b"id: 1\ndata: a\n\n".to_vec(), last_id: Some(1) }));
    expect_that!(events.is_at_event_boundary(), eq(false));
    expect_that!(events.feed(b""), ok(none()));
    let came = events.feed(b"\nid: 3").expect("sound").expect("the other");
    expect_that!(came, eq(&CompleteEvents { bytes: b"id: 2\ndata: b\n\n".to_vec(), last_id: Some(2) }));
    expect_that!(events.is_at_event_boundary(), eq(false));
}

#[gtest]
fn ids_that_do_not_rise_spoil_a_stream() {
    for (first, second) in [(5, 5), (5, 4), (5, 0), (u64::MAX, 1)] {
        let both = event(first, "a", "\n") + &event(second, "b", "\n");
        let order = StreamError::IdNotIncreasing { id: second, previous: first };
        expect_that!(EventStreamParser::default().feed(both.as_bytes()), err(eq(&order)));
        let mut events = EventStreamParser::default();
        expect_that!(passed(&mut events, both.as_bytes(), 1), err(eq(&order)), "in single bytes");
    }
}

#[gtest]
fn a_stream_that_goes_on_begins_behind_its_last_event() {
    expect_that!(
        EventStreamParser::resume_after(Some(7)).feed(event(8, "a", "\n").as_bytes()),
        ok(some(anything()))
    );
    for id in [1, 6, 7] {
        let began = EventStreamParser::resume_after(Some(7)).feed(event(id, "a", "\n").as_bytes());
        expect_that!(began, err(eq(&StreamError::IdNotIncreasing { id, previous: 7 })));
    }
    expect_that!(
        EventStreamParser::resume_after(None).feed(event(0, "a", "\n").as_bytes()),
        ok(some(anything()))
    );
}

#[gtest]
fn events_without_an_id_pass_and_leave_the_last_one() {
    let mut events = EventStreamParser::default();
    let text =
        ["id: 4\n", "data: a\n\n", "versions: 3\ndata: b\n\n", ": a comment\n\n", "id: x\n\n", "\n"].concat();
    let came = events.feed(text.as_bytes()).expect("sound").expect("whole events");
    expect_that!(came, eq(&CompleteEvents { bytes: text.into_bytes(), last_id: Some(4) }));
    expect_that!(events.feed(b"data: c\n\n").expect("sound").expect("one").last_id, none());
    expect_that!(events.feed(b"id: 4\n\n"), err(eq(&StreamError::IdNotIncreasing { id: 4, previous: 4 })));
}

#[gtest]
fn an_id_is_found_on_any_line_with_or_without_space() {
    for text in [
        "versions: 2\nid: 9\ndata: id: 1\n\n",
        "id:9\n\n",
        "id:   9  \r\n\r\n",
        "data: id: 1\r\nid:9\r\n\r\n",
    ] {
        let came = EventStreamParser::default().feed(text.as_bytes()).expect("sound").expect("one event");
        expect_that!(came.last_id, some(eq(9)), "{text:?}");
    }
}

#[gtest]
fn an_event_without_end_is_not_kept_for_ever() {
    let piece = vec![b'x'; 64 * 1024];
    let mut events = EventStreamParser::default();
    let ended = (0..64).find_map(|_| events.feed(&piece).err());
    expect_that!(ended, some(eq(StreamError::EventTooLarge)));
}
