//! A port of a VM without power: attempts to connect to it get no answer at all.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

/// Most connections that are opened to fill the queue of a port. The kernel keeps one or two more
/// than the length that was asked for.
const MAX_QUEUED: usize = 8;

/// Time without an answer after which the queue counts as full.
const UNANSWERED_AFTER: Duration = Duration::from_millis(100);

/// A port whose queue of new connections is full and never read. The kernel drops further requests
/// for a connection, so that they time out instead of being accepted or reset.
#[derive(Debug)]
pub struct UnansweredPort {
    _listener: TcpListener,
    _queued: Vec<TcpStream>,
}

impl UnansweredPort {
    /// Takes over a port on which nothing listens any more.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be bound, or goes on to accept connections.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(1)?;
        let queued = tokio::task::spawn_blocking(move || fill_queue(address))
            .await
            .map_err(io::Error::other)??;
        Ok(Self {
            _listener: listener,
            _queued: queued,
        })
    }
}

/// Opens connections until one gets no answer.
fn fill_queue(address: SocketAddr) -> io::Result<Vec<TcpStream>> {
    let mut queued = Vec::new();
    while queued.len() < MAX_QUEUED {
        match TcpStream::connect_timeout(&address, UNANSWERED_AFTER) {
            Ok(stream) => queued.push(stream),
            Err(error) if error.kind() == io::ErrorKind::TimedOut => return Ok(queued),
            Err(error) => return Err(error),
        }
    }
    Err(io::Error::other(format!(
        "{address} still accepts connections"
    )))
}
