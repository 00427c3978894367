//! Removal of headers that must not be forwarded.

use filbertgrade_coord::names::TeamName;
use http::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::DEADLINE_HEADER;

/// Header that names the caller's team to backend servers. A caller's own value
/// is always replaced.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-team");

/// Headers that apply to a single connection (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Prefix of the headers that only the system sets in responses.
const OWN_HEADER_PREFIX: &str = "filbertgrade-";

/// Prefix of every API key.
const API_KEY_PREFIX: &[u8] = b"fgk_";

/// Whether `text` contains an API key, or anything that starts like one.
#[must_use]
pub fn contains_api_key(text: &[u8]) -> bool {
    text.windows(API_KEY_PREFIX.len())
        .any(|part| part == API_KEY_PREFIX)
}

/// Turns a caller's headers into those sent to a backend server.
///
/// Removes hop-by-hop headers, credentials, headers that only this system may
/// set, and every header that contains an API key. Sets the team header if
/// `team` is given.
pub fn prepare_request(headers: &mut HeaderMap, team: Option<&TeamName>) {
    remove_hop_by_hop(headers);
    for name in [
        AUTHORIZATION,
        // The entry itself sends `100 Continue` when it reads the body.
        EXPECT,
        HOST,
        TEAM_HEADER,
        HeaderName::from_static(DEADLINE_HEADER),
    ] {
        headers.remove(name);
    }
    let with_key: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, value)| {
            contains_api_key(value.as_bytes()) || contains_api_key(name.as_str().as_bytes())
        })
        .map(|(name, _)| name.clone())
        .collect();
    for name in with_key {
        headers.remove(name);
    }
    if let Some(value) = team.and_then(|t| HeaderValue::from_str(t.as_str()).ok()) {
        headers.insert(TEAM_HEADER, value);
    }
}

/// Turns a backend server's headers into those sent to a caller. Removes
/// hop-by-hop headers, and those by which the system marks its own refusals: a
/// refusal could not be distinguished from a response that has them.
pub fn prepare_response(headers: &mut HeaderMap) {
    remove_hop_by_hop(headers);
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_HEADER_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Removes hop-by-hop headers, including those that the `connection` header
/// lists.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
