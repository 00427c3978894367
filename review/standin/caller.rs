//! Callers that keep one connection each and send requests at a steady pace.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::Reader;
use crate::record::Record;

#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// The connection had served a request before.
    pub on_kept: bool,
    /// Seconds since the start of the case.
    pub at: f64,
    /// Status of the answer; 0 if the connection ended without one.
    pub status: u16,
    pub has_seal: bool,
}

#[derive(Clone)]
pub struct Callers {
    record: Record,
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Callers {
    pub fn new(record: &Record) -> Self {
        Self {
            record: record.clone(),
            stop: Arc::default(),
            sent: Arc::default(),
        }
    }

    /// Starts a caller of one node. It sends a request with `method` and `path`
    /// every `pause` after the last answer.
    pub fn start(&self, name: &str, node: &str, method: &str, path: &str, key: &str, pause: Duration) {
        let callers = self.clone();
        let (name, node) = (name.to_owned(), node.to_owned());
        let (method, path, key) = (method.to_owned(), path.to_owned(), key.to_owned());
        std::thread::spawn(move || {
            let mut connection: Option<(TcpStream, Reader)> = None;
            let mut number = 0_u32;
            while !callers.stop.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("{name}-{number}");
                let body = if method == "POST" { "one pair of gloves" } else { "" };
                let head = format!(
                    "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-filbertgrade-request-id: {id}\r\n\
                     x-filbertgrade-affinity-key: {}\r\nx-filbertgrade-deadline-ms: 4000\r\n\
                     authorization: Bearer {key}\r\ncontent-length: {}\r\n\r\n{body}",
                    object(&name, number),
                    body.len()
                );
                let at = callers.record.now();
                callers.record.add(format!("caller sends {id} to {node}"));
                let on_kept = connection.is_some();
                let answer = exchange(&mut connection, &node, &head);
                let (status, has_seal) = answer.unwrap_or((0, false));
                if status == 0 {
                    connection = None;
                }
                callers
                    .record
                    .add(format!("caller gets {status} for {id}, seal {has_seal}"));
                callers.sent.lock().unwrap().push(Sent {
                    id,
                    on_kept,
                    at,
                    status,
                    has_seal,
                });
                std::thread::sleep(pause);
            }
        });
    }

    pub fn stop(&self) {
        self.stop.store(true, Ordering::SeqCst);
    }

    pub fn sent(&self) -> Vec<Sent> {
        self.sent.lock().unwrap().clone()
    }
}

/// One of 24 objects, spread evenly over callers and requests.
fn object(name: &str, number: u32) -> u32 {
    let sum: u32 = name.bytes().map(u32::from).sum();
    (sum * 5 + number * 7) % 24
}

fn exchange(
    connection: &mut Option<(TcpStream, Reader)>,
    node: &str,
    head: &str,
) -> std::io::Result<(u16, bool)> {
    if connection.is_none() {
        let address = node.parse().unwrap();
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let reader = Reader::new(stream.try_clone()?);
        *connection = Some((stream, reader));
    }
    let Some((stream, reader)) = connection.as_mut() else {
        return Ok((0, false));
    };
    stream.write_all(head.as_bytes())?;
    let Some(message) = reader.message()? else {
        return Ok((0, false));
    };
    let closes = message.header("connection").is_some_and(|v| v.contains("close"));
    let result = (
        message.status(),
        message.header("x-filbertgrade-server-seal").is_some(),
    );
    if closes {
        *connection = None;
    }
    Ok(result)
}
