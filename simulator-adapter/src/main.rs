#![forbid(unsafe_code)]
//! Puts `ivyhatch-balancer` on the simulator's wire: reads batches of JSON lines from standard input and writes replies to
//! standard output. It translates messages and decides nothing.
//!
//! | module | concern |
//! | --- | --- |
//! | `adapter` | the instances, the lists and the clock of a batch |
//! | `instance` | one balancer, with the wire's names for its numbers |
//! | `events` | messages to an instance, translated to the balancer's events |
//! | `replies` | the balancer's actions, translated to messages |
//! | `input` | a line of input, and the values that several messages have |
//! | `error` | why the input is rejected |

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

/// Reads batches until the input ends.
///
/// # Errors
/// If the input or output fails, or a line is malformed. The batch of a malformed line gets no reply.
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
