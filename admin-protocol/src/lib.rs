//! Requests and responses of JSON over a Unix socket, between a node, the agent of its machine and the
//! command-line tool.
//!
//! A message is one JSON object on one line. A client sends a request and waits for the response before it
//! sends the next one. Each side bounds the length of a line and the time that it waits for one, so a peer
//! that sends garbage or nothing can't block it.
//!
//! - [`call`]: sends one request
//! - [`listen`], [`serve`]: accept connections and answer requests
//! - [`CallError`]: why there is no response

mod client;
mod server;

pub use client::{CallError, call};
pub use server::{ConnectionLimits, listen, serve};
