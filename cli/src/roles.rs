//! The roles of the system, as the deploy file starts them: `ivyhatch control` and `ivyhatch router`, whose settings are in the file
//! that the platform names, and `ivyhatch hunt`, which looks for violated invariants of the control state.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, pure};

use crate::control_hunt::{ControlHunt, control_hunt_parser};

/// Columns of help and error messages.
pub const MESSAGE_COLUMNS: usize = 120;

/// The description in the help of `ivyhatch hunt`.
const HUNT_DESCRIPTION: &str = "Plays worlds of control nodes, disks and cuts in virtual time, and keeps those \
    that break a rule as short files";

/// What the first argument names.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Role {
    /// Keeps the control state, follows the platform's list, serves operators and the directory.
    Control,
    /// Takes clients' requests.
    Router,
    /// Plays worlds of control nodes in virtual time.
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

/// Runs the role that the first argument names; `None` if it names none.
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
