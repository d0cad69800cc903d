//! Framing: decoding from chunks of any size; rejection of foreign bytes, other versions and corruption; fragments;
//! compression.

use googletest::prelude::*;
use ivyhatch_protocol::frame::{
    Decoder, FRAGMENT_BYTES, FrameError, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, encode, encode_fragments,
};
use ivyhatch_protocol::hash::{checksum, hash_mix};
use ivyhatch_protocol::watch::WatchRequest;

fn request() -> WatchRequest {
    WatchRequest::Fetch { position: Default::default() }
}

/// A message of `length` bytes that compression does not make shorter.
fn incompressible(length: usize) -> Vec<u8> {
    (0..length as u64).map(|at| hash_mix(at) as u8).collect()
}

fn decoded(bytes: &[u8]) -> std::result::Result<Option<WatchRequest>, FrameError> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    decoder.next_message()
}

#[gtest]
fn messages_are_decoded_from_chunks_of_any_size() {
    let bytes: Vec<u8> = (0..5).flat_map(|_| encode(&request())).collect();
    for size in [1, 2, 3, 7, 64, bytes.len()] {
        let (mut decoder, mut received) = (Decoder::default(), 0);
        for chunk in bytes.chunks(size) {
            decoder.feed(chunk);
            while let Some(message) = decoder.next_message::<WatchRequest>().expect("frames are valid") {
                expect_that!(message, eq(&request()));
                received += 1;
            }
        }
        expect_that!(received, eq(5));
    }
}

#[gtest]
fn malformed_frame_is_rejected_with_a_typed_error() {
    let valid = encode(&request());
    let decoded_with = |at: usize, byte: u8| {
        let mut bytes = valid.clone();
        bytes[at] = byte;
        decoded(&bytes)
    };
    expect_that!(decoded(b"GET / HTTP/1.1\r\n\r\n"), err(eq(&FrameError::UnknownMagic)));
    expect_that!(decoded(b"GE"), err(eq(&FrameError::UnknownMagic)));
    expect_that!(
        decoded_with(2, PROTOCOL_VERSION as u8 + 1),
        err(eq(&FrameError::UnsupportedVersion { received: PROTOCOL_VERSION + 1 }))
    );
    expect_that!(
        decoded_with(7, 0xff),
        err(matches_pattern!(FrameError::MessageTooLong { length: gt(&MAX_MESSAGE_BYTES) }))
    );
    expect_that!(
        decoded_with(valid.len() - 1, valid[valid.len() - 1] ^ 1),
        err(eq(&FrameError::ChecksumMismatch))
    );
    expect_that!(decoded(&valid[..valid.len() - 1]), ok(none()));
    // The checksum matches, but the body is not a message.
    expect_that!(decoded(&encode(&255_u32)), err(matches_pattern!(FrameError::Undecodable(_))));
}

#[gtest]
fn message_that_fits_one_fragment_is_one_frame() {
    expect_that!(encode_fragments(&request()), elements_are![eq(&encode(&request()))]);
    let fits = incompressible(FRAGMENT_BYTES - 4);
    expect_that!(encode_fragments(&fits), elements_are![eq(&encode(&fits))]);
    expect_that!(encode_fragments(&incompressible(FRAGMENT_BYTES - 3)).len(), eq(2));
}

#[gtest]
fn messages_between_fragments_are_decoded_before_the_fragmented_one() {
    let large = incompressible(5 * FRAGMENT_BYTES);
    let between = b"between".to_vec();
    let fragments = encode_fragments(&large);
    expect_that!(fragments.len(), eq(6), "the length of the vector is encoded in front of its bytes");
    for size in [1, 7, 4096, 3 * FRAGMENT_BYTES] {
        let bytes: Vec<u8> =
            fragments.iter().flat_map(|fragment| [fragment.clone(), encode(&between)].concat()).collect();
        let (mut decoder, mut received) = (Decoder::default(), Vec::new());
        for chunk in bytes.chunks(size) {
            decoder.feed(chunk);
            while let Some(message) = decoder.next_message::<Vec<u8>>().expect("frames are valid") {
                received.push(message);
            }
        }
        expect_that!(received.len(), eq(7), "chunks of {size} bytes");
        expect_that!(received[..5].iter().all(|message| *message == between), eq(true));
        expect_that!(received[5] == large, eq(true), "decoded after its last fragment");
        expect_that!(received[6], eq(&between));
        expect_that!(decoder.fragments_received(), eq(6));
    }
}

#[gtest]
fn damaged_fragment_and_endless_fragments_are_rejected() {
    let fragments = encode_fragments(&incompressible(3 * FRAGMENT_BYTES));
    let mut damaged = fragments[1].clone();
    damaged[100] ^= 1;
    let mut decoder = Decoder::default();
    decoder.feed(&fragments[0]);
    decoder.feed(&damaged);
    expect_that!(decoder.next_message::<Vec<u8>>(), err(eq(&FrameError::ChecksumMismatch)));
    let mut decoder = Decoder::default();
    let error = (0..=MAX_MESSAGE_BYTES / FRAGMENT_BYTES).find_map(|_| {
        decoder.feed(&fragments[0]);
        decoder.next_message::<Vec<u8>>().err()
    });
    expect_that!(error, some(eq(&FrameError::MessageTooLong { length: MAX_MESSAGE_BYTES + FRAGMENT_BYTES })));
}

#[gtest]
fn long_repetitive_message_is_compressed_and_damage_in_it_is_rejected() {
    let long = "all routes look alike; ".repeat(40_000);
    let frame = encode(&long);
    expect_that!(frame.len(), le(long.len() / 100));
    for bytes in [frame.clone(), encode_fragments(&long).concat()] {
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        expect_that!(
            decoder.next_message::<String>().expect("frames are valid") == Some(long.clone()),
            eq(true)
        );
    }
    // The checksum matches, but the compressed body is corrupted.
    let (head, body) = frame.split_at(12);
    for (at, byte) in [(3, 0xff), (2, 1)] {
        let mut body = body.to_vec();
        body[at] = byte;
        let bytes = [&head[..8], &checksum(&body).to_le_bytes(), &body].concat();
        let mut decoder = Decoder::default();
        decoder.feed(&bytes);
        expect_that!(decoder.next_message::<String>(), err(anything()));
    }
}
