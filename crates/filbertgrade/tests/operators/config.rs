//! Tests of configuration files: faults from the cases in `config_cases.txt`,
//! canonical text, changes, and robustness against arbitrary input.

use std::path::Path;

use filbertgrade::version::{Config, ConfigFile};
use proptest::prelude::{any, proptest};

const BASE: &str = include_str!("base.toml");
const CASES: &str = include_str!("config_cases.txt");

/// One case of `config_cases.txt`.
#[derive(Default)]
struct Case {
    name: String,
    /// Lines of the base file to replace, each with its new lines; `None` appends
    /// to the file.
    edits: Vec<(Option<String>, Vec<String>)>,
    /// Text of the second file; empty if there is none.
    second: String,
    /// Expected faults, in order.
    faults: Vec<String>,
}

/// Guards against faults that are missed, reported at a wrong location, or hidden by
/// other faults in the same file.
#[test]
fn exactly_the_faults_of_each_case_are_reported() {
    let cases = cases();
    assert!(cases.len() > 15);
    for case in cases {
        let first = edited(&case);
        let files = [("a", first.as_str()), ("b", case.second.as_str())]
            .map(|(name, text)| ConfigFile { name, text });
        let found: Vec<String> = match Config::parse_files(&files) {
            Ok(_) => Vec::new(),
            Err(error) => error.faults().iter().map(ToString::to_string).collect(),
        };
        assert_eq!(found, case.faults, "case {:?}", case.name);
    }
}

/// Guards against an applied configuration that differs from its file. The store
/// contains the canonical text, not the file.
#[test]
fn canonical_text_parses_to_the_same_configuration() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut texts = vec![BASE.to_owned()];
    for name in ["vandeputte.toml", "siam-cedar.toml"] {
        texts.push(std::fs::read_to_string(examples.join(name)).unwrap());
    }
    for text in texts {
        let config = Config::parse(&text).unwrap();
        let canonical = config.to_text();
        assert_eq!(Config::parse(&canonical).unwrap(), config, "{canonical}");
        let regions: Vec<_> = config.regions.keys().map(ToString::to_string).collect();
        let in_file: Vec<_> = text
            .lines()
            .filter_map(|line| line.strip_prefix("[regions.")?.strip_suffix(']'))
            .collect();
        assert_eq!(regions, in_file, "regions keep the order of the file");
    }
}

/// Guards against differences that operators cannot find in their file.
#[test]
fn changes_are_listed_by_key_path() {
    let from = Config::parse(BASE).unwrap();
    let text = BASE
        .replace("slots = 4", "slots = 5")
        .replace("\"10.3.0.0/16\"", "\"10.4.0.0/16\"")
        .replace("[teams.atelier]", "[teams.outfitter]");
    let changes = from.changes_to(&Config::parse(&text).unwrap());
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "~ services.chart.slots: 4 -> 5",
            "+ teams.outfitter.rate = 1000.0",
            "+ teams.outfitter.burst = 1000.5",
            "~ client_blocks.south: -\"10.3.0.0/16\" +\"10.4.0.0/16\"",
            "- teams.atelier.rate = 1000.0",
            "- teams.atelier.burst = 1000.5",
        ]
    );
}

proptest! {
    /// Guards against text that makes the parser panic.
    #[test]
    fn parser_does_not_panic_on_arbitrary_text(text in any::<String>()) {
        let _ = Config::parse(&text);
    }

    /// Guards against almost valid files that make the parser panic, or whose
    /// canonical text parses differently.
    #[test]
    fn parser_does_not_panic_on_a_corrupted_valid_file(
        at in 0..BASE.len(),
        len in 0_usize..40,
        patch in "[\\[\\]{}=\"'.a-z0-9_#\n\u{e9}-]{0,12}",
    ) {
        let end = (at + len).min(BASE.len());
        let text = format!("{}{patch}{}", &BASE[..at], &BASE[end..]);
        if let Ok(config) = Config::parse(&text) {
            assert_eq!(Config::parse(&config.to_text()).unwrap(), config);
        }
    }
}

/// Parses `config_cases.txt`.
fn cases() -> Vec<Case> {
    let mut cases: Vec<Case> = Vec::new();
    for line in CASES.lines().filter(|line| !line.is_empty()) {
        let (mark, rest) = line.split_once(' ').unwrap();
        if mark == "==" {
            cases.push(Case {
                name: rest.to_owned(),
                ..Case::default()
            });
            continue;
        }
        let Some(case) = cases.last_mut() else {
            assert_eq!(mark, "#");
            continue;
        };
        match mark {
            "-" => case.edits.push((Some(rest.to_owned()), Vec::new())),
            "+" => {
                if case.edits.is_empty() {
                    case.edits.push((None, Vec::new()));
                }
                case.edits.last_mut().unwrap().1.push(rest.to_owned());
            }
            "2" => case.second.push_str(&format!("{rest}\n")),
            "!" => case.faults.push(rest.to_owned()),
            _ => panic!("mark {mark:?} in case {:?}", case.name),
        }
    }
    cases
}

/// Returns the base file with the edits of a case.
fn edited(case: &Case) -> String {
    let mut lines: Vec<String> = BASE.lines().map(str::to_owned).collect();
    for (line, new) in &case.edits {
        match line {
            None => lines.extend(new.iter().cloned()),
            Some(line) => {
                let at = lines.iter().position(|l| l == line).unwrap();
                lines.splice(at..=at, new.iter().cloned());
            }
        }
    }
    lines.join("\n")
}
