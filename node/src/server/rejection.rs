//! The errors for which a request is rejected before it is submitted, and the statuses of their responses.

use hyper::{Method, StatusCode};

/// Why a request is rejected. The error text is the body of the response.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// A required header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header is malformed or repeated.
    #[error("{0} can't be read")]
    MalformedHeader(&'static str),
    /// The settings do not list the class or tenant that a header names.
    #[error("{0} is not known")]
    UnknownName(&'static str),
    /// The request's class requires this method.
    #[error("this class takes {0} only")]
    MethodNotAllowed(Method),
    /// The request's class does not allow this header or a body.
    #[error("{0} does not go with this class")]
    NotAllowedForClass(&'static str),
    /// The body exceeds [`MAX_BODY_BYTES`](crate::limits::MAX_BODY_BYTES).
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body was not complete in time.
    #[error("the body did not arrive")]
    BodyTimedOut,
    /// The request has a transfer coding.
    #[error("bodies come with a length, and no other way")]
    TransferCoding,
    /// An open request has the same id.
    #[error("{0} is that of an open request")]
    IdInUse(&'static str),
}

impl RequestError {
    /// The status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::MethodNotAllowed(_) => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::TransferCoding => StatusCode::LENGTH_REQUIRED,
            Self::IdInUse(_) => StatusCode::CONFLICT,
            Self::MissingHeader(_)
            | Self::MalformedHeader(_)
            | Self::UnknownName(_)
            | Self::NotAllowedForClass(_) => StatusCode::BAD_REQUEST,
        }
    }
}
