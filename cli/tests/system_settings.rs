//! Settings files: a role does not start with an invalid one and logs the field, and it keeps running when a reload fails.

mod system_common;

use std::net::TcpListener;

use serde_json::{Value, json};
use system_common::calls::call;
use system_common::{
    CONTROL_HOSTS, CONTROL_PORT, FRONT_PORT, Process, TestCluster, configuration, wait_until,
};

/// Starts a role that has to exit with status 1; returns its log.
fn failed_start_log(cluster: &TestCluster, role: &str, settings: &Value) -> String {
    let mut process = cluster.start_role(role, 11, settings);
    assert_eq!(process.wait_for_exit().code(), Some(1), "{role}: {}", process.log_output());
    process.log_output()
}

#[test]
fn missing_field_is_named() {
    for role in ["control", "router"] {
        let cluster = TestCluster::new();
        for field in ["node_name", "ip", "zone", "region", "zones", "listen", "inner_ports", "cloud_api"] {
            let mut settings = cluster.settings(11, &CONTROL_HOSTS, true);
            settings.as_object_mut().expect("settings are an object").remove(field);
            let log_text = failed_start_log(&cluster, role, &settings);
            assert!(log_text.contains(field), "{role} {field}: {log_text}");
        }
    }
}

#[test]
fn field_of_the_wrong_type_is_named() {
    let cluster = TestCluster::new();
    for (field, value) in
        [("ip", json!("nowhere")), ("zones", json!(7)), ("inner_ports", json!([1])), ("seeds", json!(["x"]))]
    {
        let mut settings = cluster.settings(11, &CONTROL_HOSTS, true);
        settings[field] = value;
        let log_text = failed_start_log(&cluster, "router", &settings);
        assert!(log_text.contains(field), "{field}: {log_text}");
    }
}

#[test]
fn missing_listen_address_is_named() {
    let cluster = TestCluster::new();
    for (role, field) in
        [("router", "front"), ("router", "readiness"), ("control", "control"), ("control", "directory")]
    {
        let mut settings = cluster.settings(11, &CONTROL_HOSTS, true);
        settings["listen"].as_object_mut().expect("listen is an object").remove(field);
        let log_text = failed_start_log(&cluster, role, &settings);
        assert!(log_text.contains(&format!("listen.{field}")), "{role}: {log_text}");
    }
}

#[test]
fn address_in_use_is_named() {
    let cluster = TestCluster::new();
    for (role, port) in [("router", FRONT_PORT), ("control", CONTROL_PORT)] {
        let _listener = TcpListener::bind(cluster.address(11, port)).expect("the port is free");
        let log_text = failed_start_log(&cluster, role, &cluster.settings(11, &CONTROL_HOSTS, true));
        assert!(log_text.contains(&cluster.address(11, port).to_string()), "{role}: {log_text}");
    }
}

#[test]
fn role_does_not_start_without_settings_file() {
    let temp_dir = tempfile::tempdir().expect("a temporary directory");
    let missing = temp_dir.path().join("missing.json");
    let broken = temp_dir.path().join("broken.json");
    std::fs::write(&broken, "{\"node_name\":").expect("the file can be written");
    for role in ["control", "router"] {
        for (settings, logged_name) in
            [(None, "IVYHATCH_SETTINGS"), (Some(&missing), "missing.json"), (Some(&broken), "broken.json")]
        {
            let mut process = Process::start(role, settings.map(|path| path.as_path()), temp_dir.path());
            assert_eq!(process.wait_for_exit().code(), Some(1));
            assert!(process.log_output().contains(logged_name), "{role}: {}", process.log_output());
        }
    }
}

#[test]
fn unknown_and_missing_optional_fields_are_accepted() {
    let cluster = TestCluster::new();
    let mut settings = cluster.settings(11, &CONTROL_HOSTS[..1], true);
    for field in ["role", "limits", "bounds", "tolerate", "machine_class", "serves"] {
        settings.as_object_mut().expect("settings are an object").remove(field);
    }
    settings["tolerate"] = json!({"machines": 0});
    settings["unknown_field"] = json!({"nested": ["value"]});
    let _control = cluster.start_role("control", 11, &settings);
    cluster.put_configuration(11, 0, &configuration(1, &[("a", json!({}))]));
}

#[test]
fn changed_settings_are_reloaded_and_invalid_ones_ignored() {
    let cluster = TestCluster::new();
    let mut control = cluster.start_control_node(11, &CONTROL_HOSTS[..1], true);
    // No node runs on the router's seed host; the settings that are reloaded name the control node.
    let mut router = cluster.start_router(21, &[19]);
    cluster.put_configuration(11, 0, &configuration(1, &[("a", json!({}))]));
    wait_until("the router responds to readiness checks", || {
        call(cluster.address(21, system_common::READINESS_PORT), "GET", "/-/readyz", None, "").is_some()
    });
    std::fs::write(cluster.settings_file(21), "{").expect("the file can be written");
    router.signal("HUP");
    wait_until("the router logs the failed reload", || {
        router.log_output().contains("settings_reload_failed")
    });
    assert!(!cluster.is_ready(21));
    std::fs::write(cluster.settings_file(21), cluster.settings(21, &CONTROL_HOSTS[..1], false).to_string())
        .expect("the file can be written");
    router.signal("HUP");
    cluster.wait_until_ready(21);
    std::fs::write(cluster.settings_file(11), "{").expect("the file can be written");
    control.signal("HUP");
    wait_until("the control node logs the failed reload", || {
        control.log_output().contains("settings_reload_failed")
    });
    cluster.put_configuration(11, 1, &configuration(2, &[("a", json!({}))]));
    assert!(control.is_running() && router.is_running());
    for process in [&mut control, &mut router] {
        process.signal("TERM");
        assert_eq!(process.wait_for_exit().code(), Some(0));
    }
}
