//! Messages in a stream of bytes: pieces of any size, other versions, garbage, damage.

use googletest::prelude::*;
use ivyhatch_protocol::feed::FromFollower;
use ivyhatch_protocol::frame::{Decoder, FrameError, LONGEST, VERSION, encode};

fn want() -> FromFollower {
    FromFollower::Want { position: Default::default() }
}

fn decoded(bytes: &[u8]) -> std::result::Result<Option<FromFollower>, FrameError> {
    let mut decoder = Decoder::default();
    decoder.feed(bytes);
    decoder.message()
}

#[gtest]
fn messages_come_whole_from_pieces_of_any_size() {
    let bytes: Vec<u8> = (0..5).flat_map(|_| encode(&want())).collect();
    for size in [1, 2, 3, 7, 64, bytes.len()] {
        let (mut decoder, mut came) = (Decoder::default(), 0);
        for piece in bytes.chunks(size) {
            decoder.feed(piece);
            while let Some(message) = decoder.message::<FromFollower>().expect("sound") {
                expect_that!(message, eq(&want()));
                came += 1;
            }
        }
        expect_that!(came, eq(5));
    }
}

#[gtest]
fn what_is_no_message_of_ours_is_told_by_kind() {
    let good = encode(&want());
    let with = |at: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[at] = byte;
        decoded(&bytes)
    };
    expect_that!(decoded(b"GET / HTTP/1.1\r\n\r\n"), err(eq(&FrameError::Foreign)));
    expect_that!(decoded(b"GE"), err(eq(&FrameError::Foreign)));
    expect_that!(with(2, VERSION as u8 + 1), err(eq(&FrameError::Version { theirs: VERSION + 1 })));
    expect_that!(with(7, 0xff), err(matches_pattern!(FrameError::TooLong { length: gt(&LONGEST) })));
    expect_that!(with(good.len() - 1, good[good.len() - 1] ^ 1), err(eq(&FrameError::Damaged)));
    expect_that!(decoded(&good[..good.len() - 1]), ok(none()));
    // Sound by its checksum, and no message.
    expect_that!(decoded(&encode(&255_u32)), err(matches_pattern!(FrameError::Unreadable(_))));
}
