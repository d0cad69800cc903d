#![forbid(unsafe_code)]
//! Runs one node in the foreground, configured by the file that `EDGE_CONFIG` names.

fn main() -> std::process::ExitCode {
    ivyhatch_node::run()
}
