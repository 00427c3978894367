//! Parses a log line into its fields.

/// A log line with an `event=` field.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line<'a> {
    text: &'a str,
    event: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line; `None` when it has no `level=` or no `event=` field. A
    /// prefix before `level=`, such as a log collector adds, is ignored.
    pub(super) fn parse(text: &'a str) -> Option<Self> {
        let start = text.find("level=")?;
        let text = &text[start..];
        let event = find_field(text, "event")?;
        Some(Self { text, event })
    }

    pub(super) fn event(&self) -> &'a str {
        self.event
    }

    /// The value of a field without its quotes; escapes within it are kept.
    /// `None` when the line has no such field.
    pub(super) fn field(&self, name: &str) -> Option<&'a str> {
        find_field(self.text, name)
    }

    /// The `ts=` field, in seconds since 1970.
    pub(super) fn timestamp(&self) -> Option<f64> {
        self.field("ts")?.parse().ok()
    }
}

fn find_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = text;
    loop {
        let at = rest.find(name)?;
        let is_start = at == 0 || rest.as_bytes()[at - 1] == b' ';
        let after = &rest[at + name.len()..];
        match after.strip_prefix('=') {
            Some(value) if is_start => return Some(field_value(value)),
            _ => rest = after,
        }
    }
}

fn field_value(text: &str) -> &str {
    match text.strip_prefix('"') {
        Some(quoted) => {
            let mut escaped = false;
            let end = quoted.find(|c| {
                let closes = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                closes
            });
            &quoted[..end.unwrap_or(quoted.len())]
        }
        None => text.split(' ').next().unwrap_or(text),
    }
}
