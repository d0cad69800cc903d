//! Tests of the transport of small and large messages, in virtual time. Guards against heartbeats and requests that are delayed by a
//! large configuration on the same connection or link.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use ivyhatch_protocol::configuration::{Document, Item};
use ivyhatch_protocol::frame::{Decoder, encode_fragments};
use ivyhatch_protocol::hash::hash_mix;
use ivyhatch_protocol::watch::{Shared, WatchResponse};
use ivyhatch_system::transport::frame_cache::FrameCache;
use ivyhatch_system::transport::reader::{Received, read_messages_and_fragments};
use ivyhatch_system::transport::writer::{BulkPacer, Writer};
use tokio::io::{AsyncReadExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// Bandwidth of the simulated link: 10 Mbit/s.
const BYTES_PER_MILLISECOND: usize = 1250;

/// Runs a test in virtual time in a single thread, as a role's process does.
fn run<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// A configuration with this many routes of about 300 bytes each, with pseudorandom content that is hardly compressible.
fn document(routes: u64) -> Document {
    let letter = |at: u64| char::from(b'0' + (hash_mix(at) % 64) as u8).to_string().replace('\\', "~");
    let padding = |route: u64| (0..250).map(|at| letter(route * 250 + at)).collect::<String>();
    let item = |at| Item {
        name: format!("route-{at}"),
        json: format!("{{\"name\":\"route-{at}\",\"padding\":\"{}\"}}", padding(at)),
    };
    let sections = BTreeMap::from([("routes".to_owned(), (0..routes).map(item).collect())]);
    Document { revision: 7, sections, ..Document::default() }
}

fn snapshot(document: &Shared<Document>) -> WatchResponse {
    WatchResponse::Snapshot { sequence: 7, document: document.clone() }
}

fn heartbeat() -> WatchResponse {
    let position = Default::default();
    WatchResponse::Progress {
        position,
        has_quorum: true,
        router_count: 1,
        router_index: 0,
        control_nodes: Vec::new(),
    }
}

/// Reads from a connection at the simulated bandwidth for `duration`. Returns the messages and the arrival time of each.
async fn arrivals(mut from: DuplexStream, duration: Duration) -> Vec<(Duration, WatchResponse)> {
    let started_at = Instant::now();
    let (mut decoder, mut received) = (Decoder::default(), Vec::new());
    let mut buffer = [0; BYTES_PER_MILLISECOND];
    while started_at.elapsed() < duration {
        sleep(Duration::from_millis(1)).await;
        let read = tokio::time::timeout(Duration::from_millis(1), from.read(&mut buffer)).await;
        let Ok(Ok(read)) = read else { continue };
        decoder.feed(&buffer[..read]);
        while let Some(message) = decoder.next_message().expect("a valid frame") {
            received.push((started_at.elapsed(), message));
        }
    }
    received
}

#[gtest]
fn heartbeat_overtakes_a_large_configuration() {
    let received = run(async {
        let (mut to, from) = duplex(4 * 1024);
        let (writer, mut queue) = Writer::new(Rc::new(BulkPacer::new(None)));
        spawn_local(async move { queue.write_to(&mut to).await });
        let document = Shared::from(document(2000));
        let fragments: Vec<_> = encode_fragments(&snapshot(&document)).into_iter().map(Rc::new).collect();
        expect_that!(writer.send_bulk(&fragments), eq(true));
        spawn_local(async move {
            for _ in 0..5 {
                writer.send(&heartbeat());
                sleep(Duration::from_millis(200)).await;
            }
            sleep(Duration::from_secs(2)).await;
        });
        arrivals(from, Duration::from_secs(3)).await
    });
    let heartbeats: Vec<Duration> = received
        .iter()
        .filter(|(_, message)| matches!(message, WatchResponse::Progress { .. }))
        .map(|(at, _)| *at)
        .collect();
    expect_that!(heartbeats.len(), eq(5));
    for (at, sent) in heartbeats.into_iter().zip((0..).map(|index| Duration::from_millis(200 * index))) {
        expect_that!(at.saturating_sub(sent), le(Duration::from_millis(100)));
    }
    let snapshots: Vec<Duration> = received
        .iter()
        .filter(|(_, message)| matches!(message, WatchResponse::Snapshot { .. }))
        .map(|(at, _)| *at)
        .collect();
    expect_that!(snapshots, elements_are![le(&Duration::from_millis(1500))]);
}

#[gtest]
fn configuration_changes_keep_their_order() {
    let received = run(async {
        let (mut to, from) = duplex(4 * 1024);
        let (writer, mut queue) = Writer::new(Rc::new(BulkPacer::new(None)));
        spawn_local(async move { queue.write_to(&mut to).await });
        let mut frames = FrameCache::default();
        writer.send_bulk(&frames.fragments(&snapshot(&document(500).into())));
        for sequence in 7..12 {
            let change =
                WatchResponse::Change { from: sequence, to: sequence + 1, change: Shared::default() };
            writer.send_bulk(&frames.fragments(&change));
        }
        arrivals(from, Duration::from_secs(2)).await
    });
    let sequences: Vec<u64> = received
        .iter()
        .filter_map(|(_, message)| match message {
            WatchResponse::Snapshot { sequence, .. } => Some(*sequence),
            WatchResponse::Change { to, .. } => Some(*to),
            _ => None,
        })
        .collect();
    expect_that!(sequences, elements_are![eq(&7), eq(&8), eq(&9), eq(&10), eq(&11), eq(&12)]);
}

#[gtest]
fn message_to_many_connections_is_encoded_once() {
    let document = Shared::from(document(100));
    let mut frames = FrameCache::default();
    let first = frames.fragments(&snapshot(&document));
    for _ in 0..12 {
        let again = frames.fragments(&snapshot(&document));
        expect_that!(Rc::ptr_eq(&first, &again), eq(true));
    }
    let other = frames.fragments(&snapshot(&Shared::from((*document).clone())));
    expect_that!(Rc::ptr_eq(&first, &other), eq(false), "another document with equal content");
}

#[gtest]
fn fragments_are_reported_before_their_message_is_complete() {
    let (fragments, messages) = run(async {
        let (mut to, mut from) = duplex(4 * 1024);
        let (writer, mut queue) = Writer::new(Rc::new(BulkPacer::new(None)));
        spawn_local(async move { queue.write_to(&mut to).await });
        let mut frames = FrameCache::default();
        writer.send_bulk(&frames.fragments(&snapshot(&document(500).into())));
        let (mut fragments, mut messages) = (0, 0);
        // Returns when the connection has reached its idle timeout.
        let _ = read_messages_and_fragments(
            &mut from,
            Duration::from_secs(2),
            |received: Received<WatchResponse>| match received {
                Received::Message(_) => messages += 1,
                Received::Fragment if messages == 0 => fragments += 1,
                Received::Fragment => {}
            },
        )
        .await;
        drop(writer);
        (fragments, messages)
    });
    expect_that!(messages, eq(1));
    expect_that!(fragments, ge(5));
}

/// Returns how many bytes arrive on all connections together in each tenth of a second.
async fn bytes_by_tenth(connections: Vec<DuplexStream>, tenths: usize) -> Vec<usize> {
    let received = Rc::new(std::cell::RefCell::new(vec![0; tenths]));
    let started_at = Instant::now();
    for mut connection in connections {
        let received = received.clone();
        spawn_local(async move {
            let mut buffer = vec![0; 64 * 1024];
            while let Ok(length) = connection.read(&mut buffer).await {
                let tenth = (started_at.elapsed().as_millis() / 100) as usize;
                if length == 0 || tenth >= tenths {
                    return;
                }
                received.borrow_mut()[tenth] += length;
            }
        });
    }
    sleep(Duration::from_millis(100 * tenths as u64)).await;
    received.take()
}

#[gtest]
fn configuration_for_many_connections_leaves_room_on_the_link() {
    // A configuration is sent on forty connections at once, over a link of two megabytes per second.
    const CONNECTIONS: usize = 40;
    const LINK_BYTES_PER_SECOND: f64 = 2e6;
    let (total, by_tenth) = run(async {
        let pacer = Rc::new(BulkPacer::new(Some(LINK_BYTES_PER_SECOND)));
        let mut frames = FrameCache::default();
        let fragments = frames.fragments(&snapshot(&document(100).into()));
        let mut receivers = Vec::new();
        let mut writers = Vec::new();
        for _ in 0..CONNECTIONS {
            let (mut to, from) = duplex(64 * 1024);
            let (writer, mut queue) = Writer::new(pacer.clone());
            spawn_local(async move { queue.write_to(&mut to).await });
            writer.send_bulk(&fragments);
            receivers.push(from);
            writers.push(writer);
        }
        let by_tenth = bytes_by_tenth(receivers, 30).await;
        drop(writers);
        (fragments.iter().map(|fragment| fragment.len()).sum::<usize>() * CONNECTIONS, by_tenth)
    });
    expect_that!(by_tenth.iter().sum::<usize>(), eq(total));
    // The rate is half of the link's bandwidth, or as much as sends all bulk within a second. A tenth may exceed the rate by a fragment.
    let rate = (LINK_BYTES_PER_SECOND / 2.0).max(total as f64);
    let most_in_a_tenth = (rate / 10.0) as usize + 17 * 1024;
    expect_that!(by_tenth, each(le(&most_in_a_tenth)));
}
