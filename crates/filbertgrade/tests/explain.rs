//! Tests how `explain` derives the cause from log lines, and that the
//! operators' page lists every log event.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use filbertgrade::explain::RequestHistory;
use rstest::rstest;

fn read_logs(id: &str, logs: &[(&str, &str)]) -> RequestHistory {
    let mut history = RequestHistory::new(id);
    for (name, text) in logs {
        history
            .read(name, text.as_bytes(), |_| {})
            .expect("a string can be read");
    }
    history
}

const REFUSED: &str =
    "level=info target=x ts=5.000 event=refused id=a1 service=charts team=atelier endpoint=i-3 ";

/// Guards against a cause that differs from what the log lines show.
#[rstest]
#[case::rate(
    "cause=over_rate outcome=not_run",
    "team atelier was over its rate; it did not run"
)]
#[case::endpoint(
    "cause=no_endpoint outcome=not_run",
    "no endpoint of charts accepted requests; it did not run"
)]
#[case::silent(
    "cause=backend_silent outcome=unknown",
    "endpoint i-3 did not answer within the timeout of the route; it may have run"
)]
fn refusal_names_its_cause(#[case] fields: &str, #[case] cause: &str) {
    let line = format!("{REFUSED}{fields}\n");
    assert_eq!(
        read_logs("a1", &[("vm-0", &line)]).cause().as_deref(),
        Some(cause)
    );
}

/// Guards against reporting a cause when the log lines do not show one.
#[rstest]
#[case::no_end("level=info target=x event=attempt id=a1 result=refused endpoint=i-1 ms=3")]
#[case::unknown_cause("level=info target=x event=refused id=a1 cause=moonlight outcome=not_run")]
#[case::other_request("level=info target=x event=refused id=a12 cause=busy outcome=not_run")]
#[case::other_field("level=info target=x event=refused uid=a1 cause=busy outcome=not_run")]
fn no_cause_is_given_when_the_lines_do_not_show_one(#[case] line: &str) {
    assert_eq!(read_logs("a1", &[("vm-0", line)]).cause(), None);
}

/// Guards against losing the reason of a late response when the lines of the
/// request are spread over several logs.
#[test]
fn lines_of_several_logs_are_sorted_by_time_and_shown_with_context() {
    let first = "12.1 vm-0 level=info target=x ts=1.000 event=configuration_in_force version=3\n\
                 level=info target=x ts=2.000 event=configuration_in_force version=4\n\
                 garbage\n\
                 level=info target=x ts=9.000 event=answered id=b2 status=200 ms=900 expected_ms=200 load=0 slots=3 repeat=true\n";
    let second = "level=warn target=x ts=8.500 event=attempt id=b2 result=refused endpoint=\"i 1\" ms=40\n\
                  \u{fffd}\u{0}\n";
    let history = read_logs("b2", &[("one.log", first), ("two.log", second)]);
    let text = history.to_string();
    let lines: Vec<&str> = text.lines().collect();
    assert!(
        lines[0].contains("believed") && lines[0].contains("version=4"),
        "{text}"
    );
    assert!(
        lines[1].starts_with("two.log") && lines[2].starts_with("one.log"),
        "{text}"
    );
    assert_eq!(
        lines[3],
        "cause: answered after 900 ms, because another attempt failed: refused at i 1 after 40 ms"
    );
    assert!(lines[4].ends_with("2 lines without an event"), "{text}");
}

/// Guards against a log event that the operators' page does not describe.
#[test]
fn page_lists_every_event_that_is_logged() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page exists");
    let mut events = BTreeSet::new();
    for folder in [
        "crates/filbertgrade/src",
        "crates/filbertgrade-coord/src",
        "platform/src",
    ] {
        collect_events(&root.join(folder), &mut events);
    }
    assert!(events.len() > 50, "{events:?}");
    let missing: Vec<_> = events
        .iter()
        .filter(|event| !page.contains(&format!("`{event}`")))
        .collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
}

fn collect_events(folder: &Path, events: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the folder can be read").path();
        if path.is_dir() {
            collect_events(&path, events);
            continue;
        }
        let text = fs::read_to_string(&path).expect("sources are text");
        for part in text.split("\"event=").skip(1) {
            let name: String = part
                .chars()
                .take_while(|c| c.is_ascii_lowercase() || c.is_ascii_digit() || *c == '_')
                .collect();
            events.insert(name);
        }
    }
}
