//! Helpers shared by the stand-ins.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::time::Instant;

/// Locks `mutex` and ignores poisoning, so that a failed test assertion that holds the lock does
/// not cause a second panic in the code that reads the records.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps until `due`, and returns without yielding if it has passed. The timer rounds up to whole
/// milliseconds, which would add up to 1 ms to each part of a stream that has no delay.
pub(crate) async fn sleep_until(due: Instant) {
    if due > Instant::now() {
        tokio::time::sleep_until(due).await;
    }
}

/// Decodes `%XX` escapes. A malformed escape is left unchanged. Decoded bytes that are not UTF-8
/// become U+FFFD.
pub(crate) fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut i = 0;
    while i < bytes.len() {
        let escape = (bytes[i] == b'%')
            .then(|| bytes.get(i + 1..i + 3))
            .flatten();
        let decoded = escape
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        out.push(decoded.unwrap_or(bytes[i]));
        i += if decoded.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Iterates over the decoded `name=value` pairs of a query string. A pair without `=` has an empty
/// value.
pub(crate) fn query_pairs(query: Option<&str>) -> impl Iterator<Item = (String, String)> + '_ {
    query
        .unwrap_or("")
        .split('&')
        .filter(|pair| !pair.is_empty())
        .map(|pair| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (percent_decode(name), percent_decode(value))
        })
}

/// Returns the decoded value of the first pair with this name in a query string.
pub(crate) fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    query_pairs(query)
        .find(|(key, _)| key == name)
        .map(|(_, value)| value)
}
