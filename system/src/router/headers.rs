//! Names of the headers between clients, routers and servers (wire names).

use hyper::header::{HeaderMap, HeaderName};

/// The request's id; servers repeat it in the response.
pub const ATTEMPT_ID: &str = "ivyhatch-attempt-id";
/// How long the client waits, in milliseconds.
pub const DEADLINE: &str = "ivyhatch-deadline-ms";
/// The instance that an attempt is meant for.
pub const EXPECT_INSTANCE: &str = "ivyhatch-expect-instance";
/// The last event of a stream that the client has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// How urgent a request is to a server.
pub const PRIORITY: &str = "priority";
/// The model that a prompt is for.
pub const MODEL: &str = "ivyhatch-model";
/// The numbers of a prompt's tokens.
pub const TOKEN_COUNTS: &str = "ivyhatch-token-counts";
/// The hashes of a prompt's prefixes.
pub const PROMPT_PREFIX: &str = "ivyhatch-prompt-prefix";
/// Marks a server's response as begun by the server itself.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("ivyhatch-server-stamp");
/// A server's statement that it did not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("ivyhatch-not-executed");
/// A server's load.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("ivyhatch-server-load");
/// How long a connection is kept while idle.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The value of a header that may occur once at most, where it is text.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}
