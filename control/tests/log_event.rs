//! The text form of log events, which operators' tools parse: names and fields.

use googletest::prelude::*;
use ivyhatch_control::{FormatReason, LogEvent, ServerListSource};
use ivyhatch_protocol::ids::{Ballot, NodeId, PartitionId, ReplicaId};
use ivyhatch_protocol::peer::ReplicaStatus;
use ivyhatch_protocol::watch::Server;

fn line(event: &LogEvent) -> String {
    format!("{} {event}", event.name())
}

fn ballot() -> Ballot {
    Ballot { counter: 7, node: NodeId(0x0a00_0001), incarnation: 3 }
}

fn server(lifetime_remaining_ms: Option<u32>) -> Server {
    Server {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        address: "10.0.0.9:80".to_owned(),
        zone: "a".to_owned(),
        slots: 8,
        draining: true,
        warm_up_remaining_ms: 250,
        lifetime_remaining_ms,
    }
}

#[gtest]
fn events_have_their_names_and_key_value_fields() {
    let replica = ReplicaId { node: NodeId(0x0a00_0001), disk: 0xab << 32 };
    let partition = PartitionId(3);
    let lines = [
        (
            LogEvent::DiskFormatted { replica, reason: FormatReason::EmptyDisk },
            "disk_formatted replica=10.0.0.1/000000ab reason=empty_disk",
        ),
        (LogEvent::QuorumContact { in_contact: false }, "quorum in_contact=false"),
        (
            LogEvent::ReplicaStatus { status: ReplicaStatus::Learner, generation: 2 },
            "replica status=Learner generation=2",
        ),
        (
            LogEvent::Membership { generation: 2, voters: vec![replica, replica] },
            "membership generation=2 voters=10.0.0.1/000000ab,10.0.0.1/000000ab",
        ),
        (
            LogEvent::MembershipUndecodable { error: "too short".to_owned() },
            r#"membership_undecodable error="too short" remedy=bring_all_to_one_release"#,
        ),
        (
            LogEvent::StateUndecodable { partition },
            "state_undecodable partition=3 remedy=bring_all_to_one_release",
        ),
        (
            LogEvent::ContentsDiverged { partition },
            "contents_diverged partition=3 remedy=none_needed_unless_repeated_then_report_it",
        ),
        (LogEvent::SteppedDown { partition }, "stepped_down partition=3"),
        (
            LogEvent::Configuration { revision: 5, sequence: 6, ballot: ballot() },
            "configuration revision=5 sequence=6 ballot=7@10.0.0.1",
        ),
    ];
    for (event, expected) in lines {
        expect_that!(line(&event), eq(expected));
    }
}

#[gtest]
fn server_list_events_have_their_names_and_key_value_fields() {
    let ballot = ballot();
    let list = LogEvent::ServerList { source: ServerListSource::Peer, ballot, number: 4, servers: 9 };
    let lines = [
        (
            LogEvent::ServerListReader { ballot: Some(ballot) },
            "server_list_reader active=true ballot=7@10.0.0.1",
        ),
        (LogEvent::ServerListReader { ballot: None }, "server_list_reader active=false"),
        (
            LogEvent::ServerListReaderSuperseded { superseded_by: ballot },
            "server_list_reader active=false superseded_by=7@10.0.0.1",
        ),
        (
            LogEvent::ServerListReadFailed { consecutive_failures: 2 },
            "server_list_read_failed consecutive_failures=2",
        ),
        (list, "server_list source=peer ballot=7@10.0.0.1 number=4 servers=9"),
        (
            LogEvent::ServerChanged(server(None)),
            "server_changed id=i-1 zone=a draining=true warm_up_remaining_ms=250",
        ),
        (
            LogEvent::ServerChanged(server(Some(900))),
            "server_changed id=i-1 zone=a draining=true warm_up_remaining_ms=250 lifetime_remaining_ms=900",
        ),
    ];
    for (event, expected) in lines {
        expect_that!(line(&event), eq(expected));
    }
}
