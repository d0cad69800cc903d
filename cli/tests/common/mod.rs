//! The operators' file of a small fleet, and processes that are killed when their test ends.

#![allow(dead_code)]

use ivyhatch_socket_lab::scripted::Backend;
use serde_json::{Value, json};

/// A process that is killed when the test ends, also if it fails.
pub struct KillOnDrop(pub std::process::Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A file with one instance, `a-1`.
pub fn single_instance_config(discovery: &str) -> String {
    format!(
        "version = 1\n[log]\nformat = \"json\"\n[fleet]\nzones = [\"a\"]\ndiscovery = \"{discovery}\"\n[[class]]\nname = \"find\"\n\
         effect = \"repeatable\"\naim_ms = 800\ndeadline_ms = 3000\n[[instance]]\nname = \"a-1\"\nzone = \"a\"\n"
    )
}

/// A server's entry in the discovery response.
pub fn server_entry(uid: &str, backend: &Backend, zone: &str) -> Value {
    json!({"uid": uid, "endpoint": backend.address.to_string(), "az": zone, "model": "k", "pod_group": 0, "state": "Ready",
        "capacity_hint": 1.0, "boot_ms": 0})
}
