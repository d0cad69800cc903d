//! The roles of the system: `ivyhatch control` and `ivyhatch router`, which are started by deploy files and read their settings from the
//! file that `IVYHATCH_SETTINGS` names, and `ivyhatch hunt`, which searches for violations of the control state's invariants.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, pure};

use crate::control_hunt::{ControlHunt, control_hunt_parser};

/// Maximum width of help and error messages, in columns.
pub const MESSAGE_COLUMNS: usize = 120;

/// Description of `ivyhatch hunt` in its help text.
const HUNT_DESCRIPTION: &str = "Plays worlds of control nodes, disks and cuts in virtual time, and keeps those \
    that break a rule as short files";

/// A role that the first argument selects.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Role {
    /// A control node: stores the control state, polls the platform's list of servers, and serves operators and the directory.
    Control,
    /// A router, which forwards clients' requests to servers.
    Router,
    /// The search for violated invariants in simulated clusters of control nodes.
    Hunt(ControlHunt),
}

fn role_parser() -> OptionParser<Role> {
    let control = pure(Role::Control)
        .to_options()
        .descr("Runs a control node, as the settings file says that IVYHATCH_SETTINGS names")
        .command("control")
        .help("keeps the configuration and the list of servers, and serves operators and the directory");
    let router = pure(Role::Router)
        .to_options()
        .descr("Runs a router, as the settings file says that IVYHATCH_SETTINGS names")
        .command("router")
        .help("takes clients' requests and sends them to servers");
    let hunt = control_hunt_parser()
        .map(Role::Hunt)
        .to_options()
        .descr(HUNT_DESCRIPTION)
        .command("hunt")
        .help("looks for broken promises of the control state");
    construct!([control, router, hunt]).to_options().descr("The roles of the system")
}

/// Runs the role that the first argument selects. Returns `None` if the first argument is not a role.
pub fn run_role(arguments: &[String]) -> Option<ExitCode> {
    if !matches!(arguments.first().map(String::as_str), Some("control" | "router" | "hunt")) {
        return None;
    }
    Some(match role_parser().run_inner(arguments) {
        Ok(Role::Control) => ivyhatch_system::run_control(),
        Ok(Role::Router) => ivyhatch_system::run_router(),
        Ok(Role::Hunt(hunt)) => hunt.run(),
        Err(failure) => {
            failure.print_message(MESSAGE_COLUMNS);
            ExitCode::from(failure.exit_code() as u8)
        }
    })
}
