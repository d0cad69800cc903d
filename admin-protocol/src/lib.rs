//! Request-response protocol in JSON over a Unix socket. A node, the agent of its machine and the command-line tool
//! communicate by it.
//!
//! A message is one JSON object on one line. Responses come in the order of their requests. Each side limits the
//! length of a line and the time to wait for one, so that a peer that sends malformed data or nothing can't block
//! the other side.
//!
//! - [`call`]: sends one request
//! - [`listen`], [`serve`]: accept connections and answer requests
//! - [`CallError`]: why a call has no response

mod client;
mod server;

pub use client::{CallError, call};
pub use server::{ConnectionLimits, listen, serve};
