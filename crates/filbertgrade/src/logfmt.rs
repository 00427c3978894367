//! Formatting of the values in log lines, which have the form
//! `event=... key=value`.

use std::fmt;

/// Formats a value for a log line. A value that contains a character that would
/// end or split it, such as a space, is quoted and escaped; any other value is
/// written unchanged.
pub fn value<T: fmt::Display>(value: T) -> Value<T> {
    Value(value)
}

/// A value that is escaped when it is displayed. Created by [`value`].
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
                // A line break in the value must not split the log line.
                c if c.is_control() || (c.is_whitespace() && c != ' ') => {
                    write!(f, "{}", c.escape_default())?;
                }
                c => write!(f, "{c}")?,
            }
        }
        f.write_str("\"")
    }
}

/// Formats a list as one value of a log line, separated by commas; `none` for
/// an empty list.
pub(crate) fn list<T: fmt::Display>(values: &[T]) -> Value<String> {
    let texts: Vec<String> = values.iter().map(T::to_string).collect();
    value(if texts.is_empty() {
        "none".to_owned()
    } else {
        texts.join(",")
    })
}
