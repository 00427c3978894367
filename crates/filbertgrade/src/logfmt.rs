//! Values of log lines, which have the form `event=... key=value`.

use std::fmt;

/// Formats a value for a log line: as it is when it has no character that
/// would end or split it, otherwise in quotes with escapes.
pub fn value<T: fmt::Display>(value: T) -> Value<T> {
    Value(value)
}

/// Return type of [`value`].
#[derive(Clone, Copy, Debug)]
pub struct Value<T>(T);

impl<T: fmt::Display> fmt::Display for Value<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.to_string();
        let plain = |c: char| !c.is_whitespace() && !c.is_control() && !"\"\\=".contains(c);
        if !text.is_empty() && text.chars().all(plain) {
            return f.write_str(&text);
        }
        f.write_str("\"")?;
        for c in text.chars() {
            match c {
                '"' | '\\' => write!(f, "\\{c}")?,
                // One event is one line, whatever the value holds.
                c if c.is_control() || (c.is_whitespace() && c != ' ') => {
                    write!(f, "{}", c.escape_default())?;
                }
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

/// Formats values as one value of a log line, separated by commas.
pub(crate) fn list<T: fmt::Display>(values: &[T]) -> Value<String> {
    let texts: Vec<String> = values.iter().map(T::to_string).collect();
    value(if texts.is_empty() {
        "none".to_owned()
    } else {
        texts.join(",")
    })
}
