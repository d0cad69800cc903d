//! The commands for applications: `ivyhatch lock run`, `ivyhatch cell get | put | watch` and `ivyhatch number next`.
//!
//! | exit code | meaning, in addition to the codes of all commands |
//! | --- | --- |
//! | 4 | another holder has the lock, the lock was lost, the cell has another revision, or there is no such cell |
//! | 5 | no definite response: the call may have been executed |

mod client;
mod lock_run;

use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use hyper::Method;
use serde_json::{Value, json};

use crate::exit::{REJECTED, UNKNOWN, UNUSABLE, WRONG_USAGE};
use crate::roles::MESSAGE_COLUMNS;
use client::{CallError, ControlClient};

/// Environment variable with the addresses of the control nodes, used if `--control` is not given.
const CONTROL_VARIABLE: &str = "IVYHATCH_CONTROL";
/// How long a command retries a call that gets no definite response.
const CALL_TIME_LIMIT: Duration = Duration::from_secs(10);
/// How long a control node waits for a put before it responds to a watch, in milliseconds.
const WATCH_WAIT_MS: u64 = 20_000;

/// Options that all commands for applications have.
#[derive(Clone, Debug)]
struct CommonOptions {
    control_nodes: Vec<SocketAddr>,
    as_json: bool,
}

/// A command for applications.
#[derive(Clone, Debug)]
enum Command {
    LockRun(lock_run::LockRun),
    CellGet {
        name: String,
    },
    /// Writes a cell; with `expected_revision` only if the cell has this revision, where 0 stands for a cell that does not exist.
    CellPut {
        name: String,
        value: String,
        expected_revision: Option<u64>,
    },
    /// Prints the puts in a group of cells after the revision `after`, or after the current revision if `after` is 0. Ends after `count`
    /// puts, or never if `count` is `None`.
    CellWatch {
        group: String,
        after: u64,
        count: Option<usize>,
    },
    NumberNext {
        name: String,
    },
}

fn common_parser() -> impl Parser<CommonOptions> {
    let control_nodes = long("control")
        .env(CONTROL_VARIABLE)
        .help("addresses of control nodes, as HOST:PORT,HOST:PORT; also in IVYHATCH_CONTROL")
        .argument::<String>("ADDRESSES")
        .parse(|text| text.split(',').map(str::parse).collect::<Result<Vec<SocketAddr>, _>>());
    let as_json = long("json").help("prints JSON").switch();
    construct!(CommonOptions { control_nodes, as_json })
}

fn lock_parser() -> impl Parser<(CommonOptions, Command)> {
    let common = common_parser();
    let hold_ms = long("hold-ms")
        .help("the lock is held for so long after its last renewal")
        .argument::<u64>("MS")
        .guard(|hold_ms| (100..=3_600_000).contains(hold_ms), "--hold-ms must be between 100 and 3600000")
        .fallback(5000);
    let holder = long("holder")
        .help("the holder's name, kept across all of its holds; by default one of this process")
        .argument::<String>("NAME")
        .optional();
    let wait_s = long("wait-s")
        .help("waits so long for a lock that another holds; by default not at all")
        .argument::<u64>("SECONDS")
        .fallback(0);
    let name = positional::<String>("LOCK").help("the lock");
    let command = positional::<String>("COMMAND")
        .help("the command, behind --, with its arguments")
        .strict()
        .some("expected the command to run, after --");
    let run = construct!(lock_run::LockRun { hold_ms, holder, wait_s, name, command }).map(Command::LockRun);
    construct!(common, run)
        .to_options()
        .descr("Runs a command while a lock is held, and ends it when the lock is lost. FENCE is its fencing token")
        .command("run")
        .help("runs a command while a lock is held")
}

fn cell_parser() -> impl Parser<(CommonOptions, Command)> {
    let get = {
        let common = common_parser();
        let name = positional::<String>("CELL").help("the cell");
        let get = construct!(Command::CellGet { name });
        construct!(common, get).to_options().descr("Reads a cell").command("get").help("reads a cell")
    };
    let put = {
        let common = common_parser();
        let expected_revision = long("expect")
            .help("writes only where the cell has this revision, 0 where it must not exist yet")
            .argument::<u64>("REVISION")
            .optional();
        let name = positional::<String>("CELL").help("the cell");
        let value =
            positional::<String>("VALUE").help("its value; no other put of the cell may have the same");
        let put = construct!(Command::CellPut { expected_revision, name, value });
        construct!(common, put).to_options().descr("Writes a cell").command("put").help("writes a cell")
    };
    let watch = {
        let common = common_parser();
        let after = long("after")
            .help("begins behind this revision; by default at the present one")
            .argument::<u64>("REVISION")
            .fallback(0);
        let count = long("count").help("ends after so many puts").argument::<usize>("N").optional();
        let group = positional::<String>("GROUP").help("the group, with the dot that ends it");
        let watch = construct!(Command::CellWatch { after, count, group });
        construct!(common, watch)
            .to_options()
            .descr("Prints the puts in a group of cells as they are made")
            .command("watch")
            .help("prints the puts in a group of cells")
    };
    construct!([get, put, watch])
}

fn number_parser() -> impl Parser<(CommonOptions, Command)> {
    let common = common_parser();
    let name = positional::<String>("NAME").help("the name under which numbers rise");
    let next = construct!(Command::NumberNext { name });
    construct!(common, next)
        .to_options()
        .descr("Prints a number above all that were given out under a name before")
        .command("next")
        .help("prints the next number of a name")
}

fn parser() -> OptionParser<(CommonOptions, Command)> {
    let lock = lock_parser().to_options().descr("Locks").command("lock").help("locks");
    let cell = cell_parser().to_options().descr("Cells").command("cell").help("cells and watches");
    let number = number_parser().to_options().descr("Numbers").command("number").help("numbers that rise");
    construct!([lock, cell, number]).to_options().descr("Locks, cells and numbers of applications")
}

/// Runs the command for applications that the first argument selects. Returns `None` if the first argument is not such a command.
pub fn run_command(arguments: &[String]) -> Option<ExitCode> {
    if !matches!(arguments.first().map(String::as_str), Some("lock" | "cell" | "number")) {
        return None;
    }
    Some(match parser().run_inner(arguments) {
        Ok((common, command)) => run(common, command),
        Err(failure) => {
            failure.print_message(MESSAGE_COLUMNS);
            let is_help = failure.exit_code() == 0;
            if is_help { ExitCode::SUCCESS } else { ExitCode::from(WRONG_USAGE) }
        }
    })
}

fn run(common: CommonOptions, command: Command) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return crate::exit::report_unusable(format!("cannot create a runtime: {error}")),
    };
    let client = ControlClient::new(common.control_nodes);
    runtime.block_on(async {
        match command {
            Command::LockRun(run) => report(lock_run::run(client, run)).await,
            Command::CellGet { name } => report(get_cell(client, common.as_json, name)).await,
            Command::CellPut { name, value, expected_revision } => {
                report(put_cell(client, common.as_json, name, value, expected_revision)).await
            }
            Command::CellWatch { group, after, count } => {
                report(watch_cells(client, common.as_json, group, after, count)).await
            }
            Command::NumberNext { name } => report(next_number(client, common.as_json, name)).await,
        }
    })
}

/// Runs a command to its end. If it fails, prints the error and returns the exit code of the error.
async fn report(command: impl Future<Output = Result<ExitCode, CallError>>) -> ExitCode {
    match command.await {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ivyhatch: {error}");
            ExitCode::from(match error {
                CallError::Rejected { .. } => REJECTED,
                CallError::Invalid { .. } => WRONG_USAGE,
                CallError::NotStarted => UNUSABLE,
                CallError::Unknown => UNKNOWN,
            })
        }
    }
}

/// Prints the complete response as JSON, or only the value of `field`.
fn print_response(response: &Value, as_json: bool, field: &str) {
    match &response[field] {
        _ if as_json => println!("{response}"),
        Value::String(text) => println!("{text}"),
        other => println!("{other}"),
    }
}

async fn get_cell(mut client: ControlClient, as_json: bool, name: String) -> Result<ExitCode, CallError> {
    let response =
        client.call_with_retries(Method::GET, &format!("cells/{name}"), None, CALL_TIME_LIMIT).await?;
    print_response(&response, as_json, "value");
    Ok(ExitCode::SUCCESS)
}

async fn put_cell(
    mut client: ControlClient,
    as_json: bool,
    name: String,
    value: String,
    expected_revision: Option<u64>,
) -> Result<ExitCode, CallError> {
    let mut body = json!({ "value": value });
    if let Some(expected) = expected_revision {
        body["enabled"] = json!(expected); // wire name of the expected revision
    }
    let response =
        client.call_with_retries(Method::PUT, &format!("cells/{name}"), Some(&body), CALL_TIME_LIMIT).await?;
    print_response(&response, as_json, "rev");
    Ok(ExitCode::SUCCESS)
}

async fn next_number(mut client: ControlClient, as_json: bool, name: String) -> Result<ExitCode, CallError> {
    let path = format!("numbers/{name}");
    let response = client.call_with_retries(Method::POST, &path, Some(&json!({})), CALL_TIME_LIMIT).await?;
    print_response(&response, as_json, "value");
    Ok(ExitCode::SUCCESS)
}

/// Watches a group of cells, and prints the puts as they are made.
async fn watch_cells(
    mut client: ControlClient,
    as_json: bool,
    group: String,
    mut after: u64,
    count: Option<usize>,
) -> Result<ExitCode, CallError> {
    let mut printed = 0;
    while count.is_none_or(|count| printed < count) {
        let path = format!("watch/{group}?after={after}&wait_ms={WATCH_WAIT_MS}");
        let time_limit = CALL_TIME_LIMIT + Duration::from_millis(WATCH_WAIT_MS);
        let response = client.call_with_retries(Method::GET, &path, None, time_limit).await?;
        for event in response["events"].as_array().into_iter().flatten() {
            if as_json {
                println!("{event}");
            } else {
                let text = |field: &str| event[field].as_str().unwrap_or_default().to_owned();
                println!("{} {} {}", event["rev"], text("name"), text("value"));
            }
            printed += 1;
        }
        let next = response["rev"].as_u64().unwrap_or(after);
        if next == 0 {
            // Revision 0: the group has no put yet. The control node responds to a watch from 0 at once, hence the pause before the next
            // request.
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        after = next;
    }
    Ok(ExitCode::SUCCESS)
}
