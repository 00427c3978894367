//! The part of HTTP/1.1 that the stand-ins need: messages with a length or in
//! chunks.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;

/// A request or response: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut part = [0; 16 * 1024];
        let n = self.stream.read(&mut part)?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    fn line(&mut self) -> Result<Option<String>> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn take(&mut self, count: usize) -> Result<Vec<u8>> {
        while self.buf.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buf.drain(..count).collect())
    }

    /// Reads the head of a message; `None` at the end of the connection.
    pub fn head(&mut self) -> Result<Option<Message>> {
        let Some(first_line) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            first_line,
            ..Message::default()
        };
        loop {
            let line = self.line()?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
            if line.is_empty() {
                return Ok(Some(message));
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, message: &mut Message) -> Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        if chunked {
            loop {
                let line = self.line()?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
                let size = usize::from_str_radix(line.trim(), 16)
                    .map_err(|_| Error::from(ErrorKind::InvalidData))?;
                let part = self.take(size)?;
                message.body.extend_from_slice(&part);
                self.line()?;
                if size == 0 {
                    return Ok(());
                }
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok());
        message.body = self.take(length.unwrap_or(0))?;
        Ok(())
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn message(&mut self) -> Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message)?;
        Ok(Some(message))
    }
}
