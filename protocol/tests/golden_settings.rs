//! Golden tests of a process's settings file: fields, default values and error texts, with whole files in `golden/`.
//! They guard against unintended changes of the file format.

mod golden_files;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;

use golden_files::compare_text;
use googletest::prelude::*;
use ivyhatch_protocol::ids::NodeId;
use ivyhatch_protocol::settings::{SETTINGS_PATH_VARIABLE, Settings};

const EVERY_FIELD: &str = include_str!("golden/settings-every-field.json");
const REQUIRED_FIELDS: &str = include_str!("golden/settings-required-fields.json");

fn read(text: &str) -> Settings {
    Settings::from_text(text, "node.json").expect("golden file is valid")
}

fn address(ip: [u8; 4], port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(ip), port)
}

/// The error text for the file with every field, after `from` is replaced by `to`.
fn error_with(from: &str, to: &str) -> String {
    assert!(EVERY_FIELD.contains(from), "the file does not contain {from}");
    let read = Settings::from_text(&EVERY_FIELD.replacen(from, to, 1), "node.json");
    read.expect_err("settings are rejected").to_string()
}

#[gtest]
fn identity_and_addresses_of_a_file_with_every_field_are_read() {
    let settings = read(EVERY_FIELD);
    expect_that!(settings.node_name.as_str(), eq("relay-lim-1"));
    expect_that!(settings.role.as_str(), eq("relay"));
    expect_that!(settings.ip, eq(Ipv4Addr::new(10, 40, 1, 21)));
    expect_that!(settings.zone.as_str(), eq("lim-east"));
    expect_that!(settings.region.as_str(), eq("lima"));
    let zones: Vec<(&str, &str)> =
        settings.zones.iter().map(|(zone, region)| (zone.as_str(), region.as_str())).collect();
    expect_that!(zones, eq(&vec![("lim-east", "lima"), ("lim-west", "lima"), ("scl-one", "santiago")]));
    expect_that!(settings.listen.client, some(eq(address([10, 40, 1, 21], 9101))));
    expect_that!(settings.listen.readiness, some(eq(address([10, 40, 1, 21], 9102))));
    expect_that!(settings.listen.control, some(eq(address([10, 40, 1, 21], 9103))));
    expect_that!(settings.listen.directory, some(eq(address([10, 40, 1, 21], 9104))));
    expect_that!(settings.peer_ports, eq((8800, 8807)));
    let seeds = vec![address([10, 40, 1, 21], 9103), address([10, 41, 2, 22], 9113)];
    expect_that!(settings.seeds, eq(&seeds));
    let seed_nodes = vec![NodeId(0x0a28_0115), NodeId(0x0a29_0216)];
    expect_that!(settings.seed_nodes(), eq(&seed_nodes));
    expect_that!(settings.first_start, eq(true));
    expect_that!(settings.data_dir.as_deref(), some(eq(Path::new("/srv/relay"))));
}

#[gtest]
fn limits_and_bounds_of_a_file_with_every_field_are_read() {
    let settings = read(EVERY_FIELD);
    expect_that!(settings.limits.cpu_share, eq(0.35));
    expect_that!(settings.limits.memory_mb, eq(310.5));
    expect_that!(settings.limits.max_fds, eq(2900));
    expect_that!(settings.limits.disk_mb, eq(48.0));
    expect_that!(settings.fault_tolerance.machines, eq(2));
    expect_that!(settings.bounds.drain_timeout_ms, eq(2750.0));
    expect_that!(settings.bounds.shutdown_grace_s, eq(6.5));
    expect_that!(settings.bounds.retry_budget_ratio, eq(0.15));
    expect_that!(settings.bounds.retry_budget_window_s, eq(12.0));
    expect_that!(settings.bounds.retry_budget_slack, eq(33.0));
    expect_that!(settings.bounds.warm_up_rate_factor, eq(1.25));
    expect_that!(settings.bounds.warm_up_rate_slack, eq(7.0));
    expect_that!(settings.bounds.max_directory_ttl_s, eq(4.0));
    expect_that!(settings.cloud_api.address, eq(address([10, 250, 0, 5], 9200)));
    expect_that!(settings.cloud_api.rate_per_s, eq(25.5));
    expect_that!(settings.cloud_api.staleness_ms, eq(650.0));
}

#[gtest]
fn missing_fields_have_their_default_values() {
    let settings = read(REQUIRED_FIELDS);
    expect_that!(settings.role.as_str(), eq(""));
    expect_that!(settings.zones.len(), eq(0));
    expect_that!(settings.listen.client, none());
    expect_that!(settings.listen.readiness, none());
    expect_that!(settings.listen.control, none());
    expect_that!(settings.listen.directory, none());
    expect_that!(settings.seeds.len(), eq(0));
    expect_that!(settings.first_start, eq(false));
    expect_that!(settings.data_dir, none());
    expect_that!(settings.limits.cpu_share, eq(1.0));
    expect_that!(settings.limits.memory_mb, eq(256.0));
    expect_that!(settings.limits.max_fds, eq(1024));
    expect_that!(settings.limits.disk_mb, eq(0.0));
    expect_that!(settings.limits.link_bytes_per_second(), none());
    expect_that!(settings.fault_tolerance.machines, eq(1));
    expect_that!(settings.bounds.drain_timeout_ms, eq(2000.0));
    expect_that!(settings.bounds.shutdown_grace_s, eq(8.0));
    expect_that!(settings.bounds.retry_budget_ratio, eq(0.1));
    expect_that!(settings.bounds.retry_budget_window_s, eq(10.0));
    expect_that!(settings.bounds.retry_budget_slack, eq(0.0));
    expect_that!(settings.bounds.warm_up_rate_factor, eq(1.0));
    expect_that!(settings.bounds.warm_up_rate_slack, eq(0.0));
    expect_that!(settings.bounds.max_directory_ttl_s, eq(5.0));
    expect_that!(settings.cloud_api.rate_per_s, eq(1.0));
    expect_that!(settings.cloud_api.staleness_ms, eq(0.0));
}

#[gtest]
fn malformed_files_are_rejected_with_the_golden_texts() {
    let texts = [
        ("field_missing", error_with("\"node_name\": \"relay-lim-1\",", "")),
        ("nested_field_missing", error_with("\"address\": \"10.250.0.5:9200\", ", "")),
        ("number_is_text", error_with("\"drain_ms\": 2750", "\"drain_ms\": \"soon\"")),
        ("address_is_no_address", error_with("\"10.40.1.21:9101\"", "\"front.example:9101\"")),
        ("seed_is_no_address", error_with("\"10.41.2.22:9113\"", "\"10.41.2.22\"")),
        ("ip_is_no_address", error_with("\"ip\": \"10.40.1.21\"", "\"ip\": \"10.40.1\"")),
        ("port_is_too_large", error_with("[8800, 8807]", "[8800, 88070]")),
        ("count_is_negative", error_with("\"max_fds\": 2900", "\"max_fds\": -1")),
        ("flag_is_number", error_with("\"first_start\": true", "\"first_start\": 1")),
        ("cut_short", error_with("\"unknown_field\": {\"is\": \"ignored\"}\n}", "")),
    ];
    let text: String = texts.iter().map(|(name, text)| format!("{name}: {text}\n")).collect();
    compare_text("settings-errors.txt", &text);
}

#[gtest]
fn missing_settings_are_rejected_with_the_same_texts() {
    let unread = Settings::from_file(Path::new("/nonexistent/node.json")).expect_err("no such file");
    let text = "settings file /nonexistent/node.json can't be read: No such file or directory (os error 2): \
                check the path and the permissions of the file";
    expect_that!(unread.to_string().as_str(), eq(text));
    expect_that!(SETTINGS_PATH_VARIABLE, eq("IVYHATCH_SETTINGS"));
    let no_address = read(REQUIRED_FIELDS).listen_address("front", |listen| listen.client);
    let text = "settings file: listen.front is missing: add the address at which the role \"\" listens";
    expect_that!(no_address.expect_err("no address").to_string().as_str(), eq(text));
    let front = read(EVERY_FIELD).listen_address("front", |listen| listen.client);
    expect_that!(front.expect("an address"), eq(address([10, 40, 1, 21], 9101)));
}
