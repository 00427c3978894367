//! One log line.

/// A log line that holds an event.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line<'a> {
    text: &'a str,
    event: &'a str,
}

impl<'a> Line<'a> {
    /// Reads a line; `None` when it holds no event. What a collector of logs
    /// put before the line is left out.
    pub(super) fn read(text: &'a str) -> Option<Self> {
        let start = text.find("level=")?;
        let text = &text[start..];
        let event = find(text, "event")?;
        Some(Self { text, event })
    }

    pub(super) fn event(&self) -> &'a str {
        self.event
    }

    /// The value of a field, without quotes.
    pub(super) fn field(&self, name: &str) -> Option<&'a str> {
        find(self.text, name)
    }

    /// Seconds since 1970.
    pub(super) fn time(&self) -> Option<f64> {
        self.field("ts")?.parse().ok()
    }
}

fn find<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = text;
    loop {
        let at = rest.find(name)?;
        let starts = at == 0 || rest.as_bytes()[at - 1] == b' ';
        let after = &rest[at + name.len()..];
        match after.strip_prefix('=') {
            Some(value) if starts => return Some(value_of(value)),
            _ => rest = after,
        }
    }
}

fn value_of(text: &str) -> &str {
    match text.strip_prefix('"') {
        Some(quoted) => {
            let mut escaped = false;
            let end = quoted.find(|c| {
                let ends = c == '"' && !escaped;
                escaped = c == '\\' && !escaped;
                ends
            });
            &quoted[..end.unwrap_or(quoted.len())]
        }
        None => text.split(' ').next().unwrap_or(text),
    }
}
