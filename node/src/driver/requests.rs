//! The types of a client's request and of its final reply, which the server and the driver exchange.

use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use ivyhatch_balancer::Nanos;

/// A validated request of a client.
pub struct ClientRequest {
    /// The client's id of the request, which no other open request may have.
    pub id: Box<str>,
    /// The number of the request's class.
    pub class: u32,
    /// The number of the request's tenant; `None` if the settings list no tenants.
    pub tenant: Option<u32>,
    /// The client's estimate of the work, in nanoseconds; `None` if the client gave no usable estimate.
    pub expected_work: Option<Nanos>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// How long the client waits, in nanoseconds from now.
    pub budget: Nanos,
    /// The part of the request that is forwarded to a backend.
    pub forwarded: ForwardedRequest,
}

/// A client's request in the form in which it is forwarded.
pub struct ForwardedRequest {
    /// The method of the client's request.
    pub method: Method,
    /// The path and query of the client's request.
    pub target: Uri,
    /// The headers that are forwarded unchanged.
    pub headers: HeaderMap,
    /// The complete body of the client's request.
    pub body: Bytes,
}

/// The final reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// The request was served; holds the body of the backend's response.
    Served(Bytes),
    /// The request was rejected and has not run. If the number is above 0, the client should wait this many nanoseconds before
    /// a retry.
    Rejected(Nanos),
    /// The request failed and may have run.
    Failed,
}
