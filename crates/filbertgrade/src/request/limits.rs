//! The request headers with which callers set a deadline and an idempotency
//! key.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};

use super::{Cause, Refusal};

/// Header with the time that the caller waits for the response, in
/// milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Header with the idempotency key of a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Deadline of a request without a deadline header.
pub const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Largest deadline; longer ones are reduced to it. It bounds how long a VM
/// that is shutting down waits for its running requests.
pub const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Shortest time in which a request can reach a backend server and its response
/// can return. With less time left a request is not sent.
pub const MIN_DEADLINE: Duration = Duration::from_millis(1);

/// Largest length of an idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 255;

/// Returns the time that the caller allows for a request, between
/// [`MIN_DEADLINE`] and [`MAX_DEADLINE`].
///
/// # Errors
///
/// Refuses the request as not run when the header is malformed, is repeated,
/// or allows less than [`MIN_DEADLINE`].
pub fn deadline_of(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = single(headers, DEADLINE_HEADER)? else {
        return Ok(DEFAULT_DEADLINE);
    };
    let text = value.to_str().unwrap_or("");
    // `parse` alone would accept a leading plus sign.
    if text.is_empty() || text.len() > 18 || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(Refusal::not_run(Cause::BadRequest));
    }
    let ms: u64 = text
        .parse()
        .map_err(|_| Refusal::not_run(Cause::BadRequest))?;
    let time = Duration::from_millis(ms);
    if time < MIN_DEADLINE {
        return Err(Refusal::not_run(Cause::DeadlinePassed));
    }
    Ok(time.min(MAX_DEADLINE))
}

/// Returns the idempotency key of a request; `None` when it has none.
///
/// # Errors
///
/// Refuses the request as not run when the key is empty, too long, repeated, or
/// contains anything but visible ASCII characters.
pub fn idempotency_key_of(headers: &HeaderMap) -> Result<Option<&str>, Refusal> {
    let Some(value) = single(headers, IDEMPOTENCY_HEADER)? else {
        return Ok(None);
    };
    let bytes = value.as_bytes();
    let well_formed = !bytes.is_empty()
        && bytes.len() <= MAX_IDEMPOTENCY_KEY_BYTES
        && bytes.iter().all(u8::is_ascii_graphic);
    match value.to_str() {
        Ok(key) if well_formed => Ok(Some(key)),
        _ => Err(Refusal::not_run(Cause::BadRequest)),
    }
}

/// Returns the value of a header that may occur at most once.
fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a HeaderValue>, Refusal> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(Refusal::not_run(Cause::BadRequest)),
    }
}
