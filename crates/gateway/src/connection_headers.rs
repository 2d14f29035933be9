//! Headers that apply to a single connection.

use std::time::Duration;

use hyper::header::{CONNECTION, HeaderMap, HeaderValue};

/// Headers that apply to a single connection (hop-by-hop).
const HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, and those that `Connection` lists.
pub(crate) fn strip_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<String> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    for name in listed.iter().map(String::as_str).chain(HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Whether the sender closes the connection after this message.
pub(crate) fn requests_close(headers: &HeaderMap) -> bool {
    let close = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
    headers.get_all(CONNECTION).iter().any(close)
}

/// Idle time after which the server closes the connection, from its `Keep-Alive` header.
pub(crate) fn server_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let header = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = header.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
