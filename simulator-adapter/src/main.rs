#![forbid(unsafe_code)]
//! Connects `ivyhatch-balancer` to the simulator: reads batches of JSON lines from standard input and writes the replies to
//! standard output. The adapter only translates messages; all decisions are the balancer's.
//!
//! | module | concern |
//! | --- | --- |
//! | `adapter` | the instances, the server lists and the simulated time of a batch |
//! | `instance` | one balancer, with the mapping between names in messages and its numeric ids |
//! | `events` | translation of messages into the balancer's events |
//! | `replies` | translation of the balancer's actions into messages |
//! | `input` | parsing of an input line, and of values that several kinds of messages have in common |
//! | `error` | errors that end the adapter |

mod adapter;
mod error;
mod events;
mod input;
mod instance;
mod replies;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use adapter::{Adapter, Progress};
use error::{AdapterError, LineError};
use input::Message;

/// Processes batches until the end of the input.
///
/// # Errors
/// If standard input or output fails, or a line is malformed. A batch with a malformed line gets no reply.
fn run() -> Result<(), AdapterError> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut adapter = Adapter::default();
    let mut text = String::new();
    let mut line: u64 = 0;
    loop {
        text.clear();
        let length = input.read_line(&mut text).map_err(AdapterError::Input)?;
        if length == 0 {
            return Ok(());
        }
        line += 1;
        if text.trim().is_empty() {
            continue;
        }
        let progress =
            process_line(&mut adapter, &text, line).map_err(|error| AdapterError::Line { line, error })?;
        if progress == Progress::BatchComplete {
            let reply = adapter.take_reply();
            let written = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
            written.map_err(AdapterError::Output)?;
        }
    }
}

fn process_line(adapter: &mut Adapter, text: &str, line: u64) -> Result<Progress, LineError> {
    let value = serde_json::from_str(text)?;
    let message = Message::parse(&value)?;
    Ok(adapter.process(&message, line)?)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivyhatch-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
