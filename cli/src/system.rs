//! The roles of the system, as the deploy file starts them: `ivyhatch control` and `ivyhatch router`. What they are told stands in
//! the settings file that the platform names.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, pure};

/// A role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Keeps the control state, follows the platform's list, serves operators and the directory.
    Control,
    /// Takes clients' requests.
    Router,
}

fn parser() -> OptionParser<Role> {
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
    construct!([control, router]).to_options().descr("The roles of the system")
}

/// Runs a role, where the arguments name one.
pub fn role(arguments: &[String]) -> Option<ExitCode> {
    if !matches!(arguments.first().map(String::as_str), Some("control" | "router")) {
        return None;
    }
    Some(match parser().run_inner(arguments) {
        Ok(Role::Control) => ivyhatch_system::run_control(),
        Ok(Role::Router) => ivyhatch_system::run_router(),
        Err(failure) => {
            failure.print_message(120);
            ExitCode::from(failure.exit_code() as u8)
        }
    })
}
