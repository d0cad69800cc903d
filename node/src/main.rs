#![forbid(unsafe_code)]
//! One node in the foreground.

fn main() -> std::process::ExitCode {
    ivyhatch_node::run()
}
