//! What callers may set: deadline and idempotency key.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};

use super::{Cause, Refusal};

/// Header with the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Deadline of a request that names none.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest deadline; a longer one counts as this. It bounds how long a
/// stopping VM waits for its running requests.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

/// Shortest time in which a request can reach a backend server and return.
pub const SHORTEST_USEFUL: Duration = Duration::from_millis(1);

/// Longest idempotency key in bytes.
pub const LONGEST_IDEMPOTENCY_KEY: usize = 255;

/// Time that a caller gives a request.
///
/// # Errors
///
/// A refusal as not run when the header is malformed, repeated, or leaves no
/// time at all.
pub fn deadline_of(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = single(headers, DEADLINE_HEADER)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let text = value.to_str().unwrap_or("");
    // `parse` alone would accept a sign.
    if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Refusal::not_run(Cause::BadRequest));
    }
    let ms: u64 = text
        .parse()
        .map_err(|_| Refusal::not_run(Cause::BadRequest))?;
    let time = Duration::from_millis(ms);
    if time < SHORTEST_USEFUL {
        return Err(Refusal::not_run(Cause::DeadlinePassed));
    }
    Ok(time.min(LONGEST_DEADLINE))
}

/// The idempotency key of a request.
///
/// # Errors
///
/// A refusal as not run when the key is empty, too long, repeated, or not of
/// visible ASCII characters.
pub fn idempotency_key_of(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    let Some(value) = single(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let well_formed = !bytes.is_empty()
        && bytes.len() <= LONGEST_IDEMPOTENCY_KEY
        && bytes.iter().all(u8::is_ascii_graphic);
    match value.to_str() {
        Ok(key) if well_formed => Ok(Some(key)),
        _ => Err(Refusal::not_run(Cause::BadRequest)),
    }
}

fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(Refusal::not_run(Cause::BadRequest)),
    }
}
