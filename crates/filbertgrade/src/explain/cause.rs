//! Derives from the log lines of a request why it ended as it did.

use super::line::Line;

/// A response is late when it took longer than this multiple of the expected
/// time.
const LATE_FACTOR: f64 = 2.0;

/// The cause in a sentence, from the log lines of one request in order of time.
/// `None` when none of them logs the end of the request, or when a field that
/// the cause depends on is missing or unknown.
pub(super) fn of(lines: &[Line<'_>]) -> Option<String> {
    let end = lines
        .iter()
        .rev()
        .find(|line| matches!(line.event(), "refused" | "answered"))?;
    if end.event() == "refused" {
        refused(lines, end)
    } else {
        answered(lines, end)
    }
}

fn refused(lines: &[Line<'_>], end: &Line<'_>) -> Option<String> {
    let field = |name| end.field(name).unwrap_or("unknown");
    let text = match field("cause") {
        "over_rate" => format!("team {} was over its rate", field("team")),
        "isolated" => "the VM could not verify that keys were still valid, because it had \
                       received nothing from the store for too long"
            .to_owned(),
        "busy" => format!(
            "no endpoint of {} would have answered in time, or the VM had no memory to buffer the body",
            field("service")
        ),
        "no_endpoint" => format!("no endpoint of {} accepted requests", field("service")),
        "key_missing" => "the request carried no key".to_owned(),
        "key_refused" => "its key is unknown or was withdrawn".to_owned(),
        "unknown_route" => "no route matches its host and path".to_owned(),
        "body_too_large" => "its body is larger than allowed".to_owned(),
        "slow_body" => "its body arrived too slowly".to_owned(),
        "bad_request" => "it was malformed, or its body was incomplete".to_owned(),
        "too_many_connections" => "the VM had reached its limit of caller connections".to_owned(),
        "leaving" => "the VM was shutting down".to_owned(),
        "backend_silent" => format!(
            "endpoint {} did not answer within the timeout of the route",
            field("endpoint")
        ),
        "backend_failed" => failed_attempts(lines).map_or_else(
            || "the endpoint failed".to_owned(),
            |failed| format!("the endpoint failed: {failed}"),
        ),
        "deadline_passed" => "its deadline passed before it was sent to an endpoint".to_owned(),
        _ => return None,
    };
    let ran = match end.field("outcome") {
        Some("not_run") => "it did not run",
        _ => "it may have run",
    };
    Some(format!("{text}; {ran}"))
}

fn answered(lines: &[Line<'_>], end: &Line<'_>) -> Option<String> {
    let status = end.field("status")?;
    let number = |name: &str| end.field(name).and_then(|v| v.parse::<f64>().ok());
    let ms = number("ms")?;
    if !status.starts_with('2') {
        return Some(format!(
            "endpoint {} ran it and answered {status}",
            end.field("endpoint")?
        ));
    }
    if let Some(failed) = failed_attempts(lines) {
        return Some(format!(
            "answered after {ms} ms, because another attempt failed: {failed}"
        ));
    }
    if lines.iter().any(|line| line.event() == "second_attempt") {
        return Some(format!(
            "answered after {ms} ms by a second endpoint, because the first one took longer than expected"
        ));
    }
    let expected = number("expected_ms")?;
    let late = ms > expected * LATE_FACTOR;
    let (load, slots) = (number("load")?, number("slots")?);
    let why = match (late, load + 1.0 > slots, end.field("repeat")) {
        (false, ..) => return Some(format!("answered after {ms} ms, as expected")),
        (true, true, _) => "it waited for a slot of its endpoint",
        (true, false, Some("false")) => "it was the first request for its object at this endpoint",
        (true, false, _) => "its endpoint took longer than others",
    };
    Some(format!(
        "answered after {ms} ms, {expected} ms were expected: {why}"
    ))
}

/// The failed attempts, each with its result, endpoint and time; `None` when
/// no attempt failed.
fn failed_attempts(lines: &[Line<'_>]) -> Option<String> {
    let failed: Vec<String> = lines
        .iter()
        .filter(|line| line.event() == "attempt")
        .map(|line| {
            let field = |name| line.field(name).unwrap_or("unknown");
            format!(
                "{} at {} after {} ms",
                field("result"),
                field("endpoint"),
                field("ms")
            )
        })
        .collect();
    (!failed.is_empty()).then(|| failed.join(", then "))
}
