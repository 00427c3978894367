//! Merged tables of configuration files, with the source location of every value.

use indexmap::IndexMap;
use indexmap::map::Entry;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{ConfigFile, Fault};

/// Source location of a key or value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Location {
    /// Index of the file in [`Faults::files`].
    file: usize,
    /// Line number, counted from 1.
    line: usize,
}

/// One value with its source location.
#[derive(Debug)]
pub(super) struct Node {
    /// Location of the key in a table, or of the value in an array.
    pub(super) location: Location,
    pub(super) value: Value,
}

/// Value types that a configuration can contain.
#[derive(Debug)]
pub(super) enum Value {
    Table(IndexMap<String, Node>),
    Array(Vec<Node>),
    Str(String),
    Int(i64),
    Float(f64),
    Bool(bool),
    /// A value that no key accepts, such as a date or a number out of range, as
    /// text.
    Other(String),
}

/// Collects the faults found while reading the files.
#[derive(Debug)]
pub(super) struct Faults {
    /// Names of the files, by the index that locations refer to.
    files: Vec<String>,
    found: Vec<Fault>,
    /// Lines that have a syntax error.
    syntax_errors: Vec<Location>,
    /// Whether all files are free of syntax errors. Otherwise a key that is
    /// absent may be on an unreadable line, so it is not reported as missing.
    pub(super) all_parsed: bool,
}

impl Faults {
    /// Records a fault, unless its line has a syntax error.
    pub(super) fn add(
        &mut self,
        location: Location,
        path: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        // The parser recovers from a syntax error with a made-up value for the
        // line, so other faults of the line are not real.
        if self.syntax_errors.contains(&location) {
            return;
        }
        self.found.push(Fault {
            file: self.files.get(location.file).cloned().unwrap_or_default(),
            line: location.line,
            path: path.to_owned(),
            problem: problem.into(),
            accepted: accepted.into(),
        });
    }

    /// Formats a location as `file:line`.
    pub(super) fn format_location(&self, location: Location) -> String {
        let file = self.files.get(location.file).map_or("", String::as_str);
        format!("{file}:{}", location.line)
    }

    pub(super) fn into_found(self) -> Vec<Fault> {
        self.found
    }
}

/// Parses all files and merges their tables. Faults found so far are returned
/// with the merged table.
pub(super) fn merge(files: &[ConfigFile<'_>]) -> (Node, Faults) {
    let mut faults = Faults {
        files: files.iter().map(|file| file.name.to_owned()).collect(),
        found: Vec::new(),
        syntax_errors: Vec::new(),
        all_parsed: true,
    };
    let mut root = IndexMap::new();
    for (file_index, file) in files.iter().enumerate() {
        let line_index = LineIndex::new(file_index, file.text);
        let (table, errors) = DeTable::parse_recoverable(file.text);
        for error in errors {
            let location = line_index.location(error.span().map_or(0, |span| span.start));
            faults.add(location, "", error.message().trim(), "TOML 1.0");
            faults.syntax_errors.push(location);
            faults.all_parsed = false;
        }
        let table = line_index.table(table.get_ref());
        merge_into(&mut root, table, "", &mut faults);
    }
    let location = Location { file: 0, line: 1 };
    let value = Value::Table(root);
    (Node { location, value }, faults)
}

/// Merges the keys of one table into another. A key that both tables
/// have is a fault, unless its value is a table in both.
fn merge_into(
    into: &mut IndexMap<String, Node>,
    from: IndexMap<String, Node>,
    path: &str,
    faults: &mut Faults,
) {
    for (key, node) in from {
        let path = join(path, &key);
        match into.entry(key) {
            Entry::Vacant(vacant) => {
                vacant.insert(node);
            }
            Entry::Occupied(mut existing) => match (&mut existing.get_mut().value, node.value) {
                (Value::Table(existing), Value::Table(table)) => {
                    merge_into(existing, table, &path, faults);
                }
                _ => {
                    let first = faults.format_location(existing.get().location);
                    let problem = format!("given twice, first at {first}");
                    faults.add(node.location, &path, problem, "one value over all files");
                }
            },
        }
    }
}

/// Returns the dotted path of `key` in the table at `path`.
pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

/// Byte offsets of the line starts of one file, which map spans to locations.
struct LineIndex {
    file: usize,
    starts: Vec<usize>,
}

impl LineIndex {
    fn new(file: usize, text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let starts = std::iter::once(0)
            .chain(breaks.map(|(offset, _)| offset + 1))
            .collect();
        Self { file, starts }
    }

    fn location(&self, offset: usize) -> Location {
        Location {
            file: self.file,
            line: self.starts.partition_point(|start| *start <= offset),
        }
    }

    fn table(&self, table: &DeTable<'_>) -> IndexMap<String, Node> {
        let mut keys: Vec<_> = table.iter().collect();
        // The parser sorts keys by name. The order of the file is restored,
        // since operators see it in the output of commands.
        keys.sort_by_key(|(key, _)| key.span().start);
        keys.into_iter()
            .map(|(key, value)| {
                let mut node = self.node(value);
                node.location = self.location(key.span().start);
                (key.get_ref().to_string(), node)
            })
            .collect()
    }

    fn node(&self, value: &Spanned<DeValue<'_>>) -> Node {
        Node {
            location: self.location(value.span().start),
            value: self.value(value.get_ref()),
        }
    }

    fn value(&self, value: &DeValue<'_>) -> Value {
        match value {
            DeValue::Table(table) => Value::Table(self.table(table)),
            DeValue::Array(array) => Value::Array(array.iter().map(|v| self.node(v)).collect()),
            DeValue::String(text) => Value::Str(text.to_string()),
            DeValue::Boolean(value) => Value::Bool(*value),
            DeValue::Integer(int) => i64::from_str_radix(int.as_str(), int.radix())
                .map_or_else(|_| Value::Other(int.as_str().to_owned()), Value::Int),
            DeValue::Float(float) => float
                .as_str()
                .parse()
                .map_or_else(|_| Value::Other(float.as_str().to_owned()), Value::Float),
            DeValue::Datetime(time) => Value::Other(time.to_string()),
        }
    }
}
