//! Test fixtures: a configuration file with one instance, an entry of the discovery response, and child processes that are killed
//! when their test ends.

#![allow(dead_code)]

use ivyhatch_socket_lab::scripted::Backend;
use serde_json::{Value, json};

/// A child process that is killed when the value is dropped, so also when the test panics.
pub struct KillOnDrop(pub std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// The text of an operators' configuration file with one zone, `a`, one request class, `find`, and one instance, `a-1`. `discovery` is
/// the `host:port` of the discovery service.
pub fn single_instance_config(discovery: &str) -> String {
    format!(
        "version = 1\n[log]\nformat = \"json\"\n[fleet]\nzones = [\"a\"]\ndiscovery = \"{discovery}\"\n[[class]]\nname = \"find\"\n\
         effect = \"repeatable\"\naim_ms = 800\ndeadline_ms = 3000\n[[instance]]\nname = \"a-1\"\nzone = \"a\"\n"
    )
}

/// The entry of a scripted backend in the discovery response.
pub fn server_entry(uid: &str, backend: &Backend, zone: &str) -> Value {
    json!({"uid": uid, "endpoint": backend.address.to_string(), "az": zone, "model": "k", "pod_group": 0, "state": "Ready",
        "capacity_hint": 1.0, "boot_ms": 0})
}
