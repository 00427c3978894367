//! The merged tables of configuration files, with the place of every value.

use indexmap::IndexMap;
use indexmap::map::Entry;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::{ConfigFile, Fault};

/// Where a key or value stands: index of the file, and line from 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Place {
    file: usize,
    line: usize,
}

/// One value with its place.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) at: Place,
    pub(super) value: Value,
}

/// Values that a configuration may hold.
#[derive(Debug)]
pub(super) enum Value {
    Table(IndexMap<String, Node>),
    Array(Vec<Node>),
    Str(String),
    Int(i64),
    Float(f64),
    Bool(bool),
    /// A value of a kind that no key accepts, as text.
    Other(String),
}

/// Collects faults.
#[derive(Debug)]
pub(super) struct Faults {
    files: Vec<String>,
    found: Vec<Fault>,
    /// Lines with syntax errors.
    broken: Vec<Place>,
    /// Every file was syntactically correct, so a key that is absent is
    /// missing rather than unreadable.
    pub(super) complete: bool,
}

impl Faults {
    pub(super) fn add(
        &mut self,
        at: Place,
        path: &str,
        problem: impl Into<String>,
        accepted: impl Into<String>,
    ) {
        // After a syntax error the parser guesses the value of the line.
        if self.broken.contains(&at) {
            return;
        }
        self.found.push(Fault {
            file: self.files.get(at.file).cloned().unwrap_or_default(),
            line: at.line,
            path: path.to_owned(),
            problem: problem.into(),
            accepted: accepted.into(),
        });
    }

    /// The place as `file:line`.
    pub(super) fn place(&self, at: Place) -> String {
        let file = self.files.get(at.file).map_or("", String::as_str);
        format!("{file}:{}", at.line)
    }

    pub(super) fn into_found(self) -> Vec<Fault> {
        self.found
    }
}

/// Parses all files and merges their tables.
pub(super) fn merge(files: &[ConfigFile<'_>]) -> (Node, Faults) {
    let mut faults = Faults {
        files: files.iter().map(|file| file.name.to_owned()).collect(),
        found: Vec::new(),
        broken: Vec::new(),
        complete: true,
    };
    let mut root = IndexMap::new();
    for (index, file) in files.iter().enumerate() {
        let lines = Lines::new(index, file.text);
        let (table, errors) = DeTable::parse_recoverable(file.text);
        for error in errors {
            let at = lines.place(error.span().map_or(0, |span| span.start));
            faults.add(at, "", error.message().trim(), "TOML 1.0");
            faults.broken.push(at);
            faults.complete = false;
        }
        let table = lines.table(table.get_ref());
        merge_into(&mut root, table, "", &mut faults);
    }
    let at = Place { file: 0, line: 1 };
    let value = Value::Table(root);
    (Node { at, value }, faults)
}

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
            Entry::Occupied(mut known) => match (&mut known.get_mut().value, node.value) {
                (Value::Table(known), Value::Table(table)) => {
                    merge_into(known, table, &path, faults);
                }
                _ => {
                    let first = faults.place(known.get().at);
                    let problem = format!("given twice, first at {first}");
                    faults.add(node.at, &path, problem, "one value over all files");
                }
            },
        }
    }
}

/// The path of `key` in the table at `path`.
pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

/// Line starts of one file.
struct Lines {
    file: usize,
    starts: Vec<usize>,
}

impl Lines {
    fn new(file: usize, text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n');
        let starts = std::iter::once(0)
            .chain(breaks.map(|(at, _)| at + 1))
            .collect();
        Self { file, starts }
    }

    fn place(&self, offset: usize) -> Place {
        Place {
            file: self.file,
            line: self.starts.partition_point(|start| *start <= offset),
        }
    }

    fn table(&self, table: &DeTable<'_>) -> IndexMap<String, Node> {
        let mut keys: Vec<_> = table.iter().collect();
        // The parser orders keys by name; the order of the file is visible to
        // operators and is kept.
        keys.sort_by_key(|(key, _)| key.span().start);
        keys.into_iter()
            .map(|(key, value)| {
                let mut node = self.node(value);
                node.at = self.place(key.span().start);
                (key.get_ref().to_string(), node)
            })
            .collect()
    }

    fn node(&self, value: &Spanned<DeValue<'_>>) -> Node {
        Node {
            at: self.place(value.span().start),
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
