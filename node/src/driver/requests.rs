//! A client's request and its final reply, as they pass between the server and the driver.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use ivyhatch_balancer::Nanos;

/// A client's request.
pub struct ClientRequest {
    /// The client's id of the request.
    pub id: Box<str>,
    /// The number of its class.
    pub class: u32,
    /// The number of its tenant.
    pub tenant: Option<u32>,
    /// The client's estimate of the work, in nanoseconds.
    pub expected_work: Option<Nanos>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// How long the client waits, in nanoseconds from now.
    pub budget: Nanos,
    /// What is forwarded.
    pub forwarded: ForwardedRequest,
}

/// A client's request in the form in which it is forwarded.
pub struct ForwardedRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub target: Uri,
    /// The headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// The final reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// Served, with a backend's response body.
    Served(Bytes),
    /// Rejected: it has not run. The client should retry after this many nanoseconds, if that is above 0.
    Rejected(Nanos),
    /// Failed: it may have run.
    Failed,
}
