//! Headers that must not pass from one side to the other.

use filbertgrade_coord::names::TeamName;
use http::header::{
    AUTHORIZATION, CONNECTION, EXPECT, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderName, HeaderValue};

use super::DEADLINE_HEADER;

/// Header that tells backend servers the team; only the system sets it.
const TEAM_HEADER: HeaderName = HeaderName::from_static("x-team");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
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

/// Start of every key.
const KEY_MARK: &[u8] = b"fgk_";

/// The text holds a key or a part that looks like one.
#[must_use]
pub fn holds_key(text: &[u8]) -> bool {
    text.windows(KEY_MARK.len()).any(|part| part == KEY_MARK)
}

/// Makes a caller's headers fit for a backend server.
pub fn prepare_request(headers: &mut HeaderMap, team: Option<&TeamName>) {
    remove_hop_by_hop(headers);
    for name in [
        AUTHORIZATION,
        // The entry itself answers an expectation when it reads the body.
        EXPECT,
        HOST,
        TEAM_HEADER,
        HeaderName::from_static(DEADLINE_HEADER),
    ] {
        headers.remove(name);
    }
    let with_key: Vec<HeaderName> = headers
        .iter()
        .filter(|(name, value)| holds_key(value.as_bytes()) || holds_key(name.as_str().as_bytes()))
        .map(|(name, _)| name.clone())
        .collect();
    for name in with_key {
        headers.remove(name);
    }
    if let Some(value) = team.and_then(|t| HeaderValue::from_str(t.as_str()).ok()) {
        headers.insert(TEAM_HEADER, value);
    }
}

/// Removes the headers that concern one connection only, with those that the
/// `connection` header names.
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
