//! Compression: round trips, and rejection of bytes that are not compressed data.

use googletest::prelude::*;
use ivyhatch_protocol::compression::{CompressionError, compress, decompress};
use ivyhatch_protocol::hash::hash_mix;

/// Pseudo-random bytes below `alphabet`.
fn bytes(seed: u64, length: usize, alphabet: u64) -> Vec<u8> {
    (0..length as u64).map(|at| (hash_mix(seed ^ hash_mix(at)) % alphabet) as u8).collect()
}

fn routes(count: u64) -> Vec<u8> {
    let route = |at: u64| {
        let (name, path) = (hash_mix(at) % 0xfff_ffff, hash_mix(at + 1) % 10_000);
        format!(
            "{{\"name\":\"r-{name:07x}\",\"host\":\"host{}.example\",\"path_prefix\":\"/p{path}/\",\"route_kind\":\"safe\",\
             \"timeout_ms\":1500,\"target_ms\":150,\"priority\":2,\"service\":\"lobby\",\"max_tries\":2}}",
            at % 60
        )
    };
    (0..count).map(route).collect::<String>().into_bytes()
}

#[gtest]
fn compressed_bytes_decompress_to_the_original() {
    for alphabet in [1, 2, 4, 256] {
        for length in (0..70).chain([254, 255, 256, 269, 270, 271, 1000, 70_000, 200_000]) {
            let bytes = bytes(length as u64, length, alphabet);
            let compressed = compress(&bytes);
            expect_that!(compressed.len(), le(length + length / 200 + 16));
            expect_that!(
                decompress(&compressed, length) == Ok(bytes),
                eq(true),
                "length {length}, alphabet {alphabet}"
            );
        }
    }
}

#[gtest]
fn repeats_within_and_beyond_the_window_decompress_to_the_original() {
    for gap in [1, 2, 3, 5, 4096, 65_530, 65_535, 65_536, 65_540, 131_072] {
        let pattern = bytes(1, 300, 256);
        let bytes = [pattern.clone(), bytes(2, gap - 1, 256), pattern.clone(), pattern].concat();
        expect_that!(decompress(&compress(&bytes), bytes.len()) == Ok(bytes), eq(true), "gap {gap}");
    }
}

#[gtest]
fn configuration_compresses_to_a_third_or_less() {
    let bytes = routes(2000);
    let compressed = compress(&bytes);
    expect_that!(compressed.len(), le(bytes.len() / 3));
    expect_that!(decompress(&compressed, bytes.len()) == Ok(bytes), eq(true));
}

#[gtest]
fn truncated_bytes_and_wrong_lengths_are_rejected() {
    let bytes = routes(20);
    let compressed = compress(&bytes);
    for cut in 0..compressed.len() {
        expect_that!(decompress(&compressed[..cut], bytes.len()), err(anything()), "cut at {cut}");
    }
    for length in [0, 1, bytes.len() - 1, bytes.len() + 1, usize::MAX] {
        expect_that!(
            decompress(&compressed, length),
            err(eq(&CompressionError::LengthMismatch)),
            "length {length}"
        );
    }
    expect_that!(decompress(&[0x10, b'x', 0, 0, 0], 9), err(eq(&CompressionError::InvalidDistance)));
    expect_that!(decompress(&[0x10, b'x', 2, 0, 0], 9), err(eq(&CompressionError::InvalidDistance)));
}

#[gtest]
fn arbitrary_bytes_decompress_to_the_announced_length_or_fail() {
    for seed in 0..20_000 {
        let mut bytes = bytes(seed, (seed % 97) as usize, 1 + hash_mix(seed) % 256);
        if seed % 2 == 0 {
            bytes = compress(&bytes);
            if let Some(byte) = bytes.get_mut((seed % 11) as usize) {
                *byte ^= 1 << (seed % 8);
            }
        }
        if let Ok(out) = decompress(&bytes, 64) {
            expect_that!(out.len(), eq(64));
        }
    }
}
