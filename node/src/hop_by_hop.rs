//! Removal of hop-by-hop headers before a message is forwarded (RFC 9110, section 7.6.1).

use hyper::header::{self, HeaderMap, HeaderName};

const HOP_BY_HOP: [HeaderName; 10] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the hop-by-hop headers and those that the `connection` header names, and returns the rest, which is forwarded.
/// The HTTP library adds the framing headers of the forwarded message. Headers in `preserved` (lower case) are kept even if
/// `connection` names them.
pub fn without_hop_by_hop_headers(mut headers: HeaderMap, preserved: &[&str]) -> HeaderMap {
    let connection_options: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name: &HeaderName| !preserved.contains(&name.as_str()))
        .collect();
    for name in connection_options.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    headers
}
