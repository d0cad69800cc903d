//! Names of the HTTP headers between clients, routers and servers (wire names).

use hyper::header::{HeaderMap, HeaderName};

/// The request ID, chosen by the client; servers echo it in the response.
pub const REQUEST_ID: &str = "ivyhatch-attempt-id";
/// How much longer the client waits for the end of the response, in milliseconds.
pub const DEADLINE: &str = "ivyhatch-deadline-ms";
/// The ID of the instance that an attempt is addressed to; another instance answers 421.
pub const EXPECT_INSTANCE: &str = "ivyhatch-expect-instance";
/// On a request that resumes a stream: the ID of the last event of the stream that the client has received.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// The priority of a request; 0 is the most urgent.
pub const PRIORITY: &str = "priority";
/// The model that a prompt is for.
pub const MODEL: &str = "ivyhatch-model";
/// The token counts of a prompt.
pub const TOKEN_COUNTS: &str = "ivyhatch-token-counts";
/// The hashes of a prompt's prefixes, by which requests with a common prefix are found.
pub const PROMPT_PREFIX: &str = "ivyhatch-prompt-prefix";
/// Set by servers on the responses that they begin themselves. A successful response without this header is not forwarded.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("ivyhatch-server-stamp");
/// Present if the server states that it has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("ivyhatch-not-executed");
/// A server's load report.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("ivyhatch-server-load");
/// How long the sender of the header keeps an idle connection open.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// The trimmed value of a header that may occur once at most; `None` if the header is missing, occurs twice or is not ASCII text.
pub fn single<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    value.to_str().ok().map(str::trim)
}
