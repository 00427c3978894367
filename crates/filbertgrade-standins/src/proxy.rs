//! TCP proxy that injects faults at run time.
//!
//! Each direction of a connection is a pipe: bytes are read in chunks of at most 16 KiB, paced by
//! the bandwidth limit, and written after the delay. A pipe buffers up to 4 MiB; beyond that, it
//! stops reading, which applies back-pressure to the sender. Faults do not delay the opening of a
//! connection, because the kernel completes the TCP handshake; a delay applies to the data and to
//! the end of the stream. Delays are rounded up to whole milliseconds.
//!
//! If the client and the forward address both have IPv4 loopback addresses, the proxy connects to
//! the forward address from the source IP address of the client, so that the server sees this
//! address.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use futures::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::common::{lock, sleep_until};
use crate::unanswered::UnansweredPort;

/// Largest chunk in bytes that is read, paced and written at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;

/// Largest number of buffered chunks per direction. 256 chunks are 4 MiB, more than the
/// bandwidth-delay product of the modelled links (280 Mbit/s x 55 ms = 1.9 MB), so a delay alone
/// does not limit the bandwidth.
const MAX_CHUNKS_IN_FLIGHT: usize = 256;

/// Time for which a truncated connection is still read after the write side is closed, because
/// closing a socket with unread bytes would send a reset.
const TRUNCATE_LINGER: Duration = Duration::from_secs(1);

/// Direction of bytes through a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the client, which opened the connection, to the forward address.
    ToServer,
    /// From the forward address to the client.
    ToClient,
}

/// Faults of one direction. The default is no fault.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Delay of each byte and of the end of the stream. Default zero.
    pub delay: Duration,
    /// Bandwidth limit that all connections with this fault share. Default no limit.
    pub bandwidth: Option<Bandwidth>,
    /// Holds all bytes and the end of the stream back until the fault is cleared. Default off.
    pub stalled: bool,
    /// Closes a connection in both directions, without a reset, once this number of bytes has
    /// passed in this direction since the fault was set. Default no limit.
    pub truncate_after: Option<u64>,
}

/// Bandwidth limit. Clones share the limit, so one limit can cover several directions and proxies.
#[derive(Clone, Debug)]
pub struct Bandwidth(Arc<Pacer>);

impl Bandwidth {
    /// Creates a limit in bytes per second. Zero is treated as one.
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Bandwidth {
        let bytes_per_second = bytes_per_second.max(1);
        Bandwidth(Arc::new(Pacer {
            bytes_per_second,
            reserved_until: Mutex::new(Instant::now()),
        }))
    }

    /// Reserves the time needed to send `bytes` bytes and returns the end of this time.
    fn reserve(&self, bytes: usize) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 / self.0.bytes_per_second as f64);
        let mut reserved_until = lock(&self.0.reserved_until);
        *reserved_until = (*reserved_until).max(Instant::now()) + time;
        *reserved_until
    }
}

#[derive(Debug)]
struct Pacer {
    bytes_per_second: u64,
    /// End of the last reservation.
    reserved_until: Mutex<Instant>,
}

/// Numbers of delivered bytes and of connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProxyCounts {
    /// Bytes delivered to the forward address.
    pub to_server: u64,
    /// Bytes delivered to clients.
    pub to_client: u64,
    /// Accepted connections, including those that were reset because of a refusal.
    pub connections: u64,
}

/// A running proxy. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    /// Connections end when this sender is dropped.
    _stop: watch::Sender<()>,
    accept_task: tokio::task::JoinHandle<()>,
    /// Takes the place of the listener after a loss of power.
    unanswered: Option<UnansweredPort>,
}

impl FaultProxy {
    /// Starts a proxy without faults on `listen`. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if `listen` cannot be bound.
    pub async fn bind(listen: SocketAddr, forward_to: SocketAddr) -> io::Result<FaultProxy> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            rules: watch::Sender::new(Rules::new(forward_to)),
            counters: Mutex::default(),
        });
        let (stop, stopped) = watch::channel(());
        let accept_task = tokio::spawn(accept_loop(listener, Arc::clone(&shared), stopped));
        Ok(FaultProxy {
            addr,
            shared,
            _stop: stop,
            accept_task,
            unanswered: None,
        })
    }

    /// Returns the address on which the proxy listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Forwards new connections to another address. Open connections are not affected.
    pub fn set_forward_to(&self, forward_to: SocketAddr) {
        self.shared
            .rules
            .send_modify(|rules| rules.forward_to = forward_to);
    }

    /// Sets the faults of one direction for all sources that have no faults of their own.
    pub fn set_fault(&self, direction: Direction, fault: Fault) {
        self.shared.rules.send_modify(|rules| {
            let rule = rules.next_rule(fault);
            rules.default_rules[direction as usize] = rule;
        });
    }

    /// Sets the faults of one direction for connections from `source`. They take precedence over
    /// the faults for all sources.
    pub fn set_fault_from(&self, source: IpAddr, direction: Direction, fault: Fault) {
        self.shared.rules.send_modify(|rules| {
            let rule = rules.next_rule(fault);
            rules.by_source.insert((source, direction as usize), rule);
        });
    }

    /// While `refuse` is set, resets new connections.
    pub fn set_refuse(&self, refuse: bool) {
        self.shared.rules.send_modify(|rules| rules.refuse = refuse);
    }

    /// While `refuse` is set, resets new connections from `source`.
    pub fn set_refuse_from(&self, source: IpAddr, refuse: bool) {
        self.shared.rules.send_modify(|rules| {
            if refuse {
                rules.refused_sources.insert(source);
            } else {
                rules.refused_sources.remove(&source);
            }
        });
    }

    /// Clears all faults and refusals. Frozen connections stay frozen.
    pub fn clear_faults(&self) {
        self.shared.rules.send_modify(|rules| {
            rules.default_rules = Default::default();
            rules.by_source.clear();
            rules.refuse = false;
            rules.refused_sources.clear();
        });
    }

    /// Resets every open connection on both sides.
    pub fn reset_open(&self) {
        self.reset_where(|_| true);
    }

    /// Resets every open connection from `source` on both sides.
    pub fn reset_open_from(&self, source: IpAddr) {
        self.reset_where(|from| from == source);
    }

    /// Freezes every open connection until it is closed: the proxy reads and drops all bytes
    /// and does not pass on the end of the stream, as on a half-open connection. Connections opened
    /// later are not affected.
    pub fn freeze_open(&self) {
        self.freeze_where(|_| true);
    }

    /// Behaves like a VM that loses power, for good: open connections are frozen, and new ones get
    /// no answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the port cannot be made to give no answer.
    pub async fn lose_power(&mut self) -> io::Result<()> {
        self.freeze_open();
        self.accept_task.abort();
        // The listener is closed once the task has ended.
        let _ = (&mut self.accept_task).await;
        self.unanswered = Some(UnansweredPort::bind(self.addr).await?);
        Ok(())
    }

    /// Freezes every open connection from `source`, as [`freeze_open`](Self::freeze_open) does.
    pub fn freeze_open_from(&self, source: IpAddr) {
        self.freeze_where(|from| from == source);
    }

    /// Returns the number of open connections, including frozen ones.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.rules.borrow().open.len()
    }

    /// Returns the counts summed over all sources.
    #[must_use]
    pub fn counts(&self) -> ProxyCounts {
        let counters = lock(&self.shared.counters);
        counters
            .values()
            .fold(ProxyCounts::default(), |sum, counter| {
                let counts = counter.counts();
                ProxyCounts {
                    to_server: sum.to_server + counts.to_server,
                    to_client: sum.to_client + counts.to_client,
                    connections: sum.connections + counts.connections,
                }
            })
    }

    /// Returns the counts of one source.
    #[must_use]
    pub fn counts_from(&self, source: IpAddr) -> ProxyCounts {
        let counters = lock(&self.shared.counters);
        counters
            .get(&source)
            .map(|counter| counter.counts())
            .unwrap_or_default()
    }

    fn reset_where(&self, selects: impl Fn(IpAddr) -> bool) {
        self.shared.rules.send_modify(|rules| {
            let selected = rules.open.iter().filter(|(_, source)| selects(**source));
            rules.to_reset.extend(selected.map(|(id, _)| *id));
        });
    }

    fn freeze_where(&self, selects: impl Fn(IpAddr) -> bool) {
        self.shared.rules.send_modify(|rules| {
            let selected = rules.open.iter().filter(|(_, source)| selects(**source));
            rules.frozen.extend(selected.map(|(id, _)| *id));
        });
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

#[derive(Debug)]
struct Shared {
    /// The current faults. Each connection watches them for changes.
    rules: watch::Sender<Rules>,
    counters: Mutex<BTreeMap<IpAddr, Arc<Counter>>>,
}

impl Shared {
    fn counter(&self, source: IpAddr) -> Arc<Counter> {
        Arc::clone(lock(&self.counters).entry(source).or_default())
    }
}

/// Counts of one source.
#[derive(Debug, Default)]
struct Counter {
    /// Delivered bytes, indexed by [`Direction`].
    delivered: [AtomicU64; 2],
    connections: AtomicU64,
}

impl Counter {
    fn counts(&self) -> ProxyCounts {
        let delivered =
            |direction: Direction| self.delivered[direction as usize].load(Ordering::SeqCst);
        ProxyCounts {
            to_server: delivered(Direction::ToServer),
            to_client: delivered(Direction::ToClient),
            connections: self.connections.load(Ordering::SeqCst),
        }
    }
}

/// The current faults, and the open connections with the faults that apply to them.
#[derive(Debug)]
struct Rules {
    forward_to: SocketAddr,
    /// Faults for sources without an entry in `by_source`, indexed by [`Direction`].
    default_rules: [Rule; 2],
    /// Faults by source and direction.
    by_source: HashMap<(IpAddr, usize), Rule>,
    /// Whether new connections from all sources are reset.
    refuse: bool,
    /// Sources whose new connections are reset.
    refused_sources: HashSet<IpAddr>,
    /// Source of each open connection, by connection id.
    open: HashMap<u64, IpAddr>,
    /// Ids of connections that are to be reset.
    to_reset: HashSet<u64>,
    /// Ids of frozen connections, always a subset of the keys of `open`.
    frozen: HashSet<u64>,
    /// Id of the next connection.
    next_connection_id: u64,
    /// Id of the most recently created rule. Zero is the id of the default rules.
    last_rule_id: u64,
}

/// Faults with an id. When the id changes, the byte count for `truncate_after` restarts.
#[derive(Clone, Debug, Default)]
struct Rule {
    id: u64,
    fault: Fault,
}

impl Rules {
    fn new(forward_to: SocketAddr) -> Rules {
        Rules {
            forward_to,
            default_rules: Default::default(),
            by_source: HashMap::new(),
            refuse: false,
            refused_sources: HashSet::new(),
            open: HashMap::new(),
            to_reset: HashSet::new(),
            frozen: HashSet::new(),
            next_connection_id: 0,
            last_rule_id: 0,
        }
    }

    fn next_rule(&mut self, fault: Fault) -> Rule {
        self.last_rule_id += 1;
        Rule {
            id: self.last_rule_id,
            fault,
        }
    }

    /// Returns the faults that apply to this source and direction.
    fn rule(&self, source: IpAddr, direction: Direction) -> &Rule {
        let for_source = self.by_source.get(&(source, direction as usize));
        for_source.unwrap_or(&self.default_rules[direction as usize])
    }

    fn remove_connection(&mut self, id: u64) {
        self.open.remove(&id);
        self.to_reset.remove(&id);
        self.frozen.remove(&id);
    }
}

/// How a connection is closed before both of its streams have ended.
#[derive(Debug, Eq, PartialEq)]
enum EarlyClose {
    /// Both sides are reset.
    Reset,
    /// Both sides are closed without a reset.
    Truncate,
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>, stopped: watch::Receiver<()>) {
    loop {
        let Ok((client, from)) = listener.accept().await else {
            // `accept` fails while the process has no free file descriptors; retry after a delay.
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let source = from.ip();
        shared
            .counter(source)
            .connections
            .fetch_add(1, Ordering::SeqCst);
        let refused = {
            let rules = shared.rules.borrow();
            rules.refuse || rules.refused_sources.contains(&source)
        };
        if refused {
            let _ = client.set_zero_linger();
            continue;
        }
        let mut id = 0;
        // Returns false because other connections need not be woken for this change.
        shared.rules.send_if_modified(|rules| {
            id = rules.next_connection_id;
            rules.next_connection_id += 1;
            rules.open.insert(id, source);
            false
        });
        let shared = Arc::clone(&shared);
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = stopped.changed() => {}
                () = forward(client, source, id, &shared) => {}
            }
            shared.rules.send_if_modified(|rules| {
                rules.remove_connection(id);
                false
            });
        });
    }
}

/// Forwards one connection until both of its streams have ended or a fault closes it.
async fn forward(mut client: TcpStream, source: IpAddr, id: u64, shared: &Shared) {
    let forward_to = shared.rules.borrow().forward_to;
    let Ok(mut server) = connect(source, forward_to).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let mut rules_rx = shared.rules.subscribe();
    let early_close = {
        let (client_read, client_write) = client.split();
        let (server_read, server_write) = server.split();
        let pipe = |direction| Pipe {
            id,
            source,
            direction,
            rules: shared.rules.subscribe(),
            counter: shared.counter(source),
        };
        let to_server = pipe(Direction::ToServer).run(client_read, server_write);
        let to_client = pipe(Direction::ToClient).run(server_read, client_write);
        tokio::select! {
            biased;
            _ = rules_rx.wait_for(|rules| rules.to_reset.contains(&id)) => Some(EarlyClose::Reset),
            result = futures::future::try_join(to_server, to_client) => result.err(),
        }
    };
    match early_close {
        Some(EarlyClose::Reset) => {
            let _ = (client.set_zero_linger(), server.set_zero_linger());
        }
        Some(EarlyClose::Truncate) => {
            let _ = tokio::join!(close_gracefully(&mut client), close_gracefully(&mut server));
        }
        None => {}
    }
}

/// Connects to the forward address, from the address `source` if both are IPv4 loopback addresses.
async fn connect(source: IpAddr, forward_to: SocketAddr) -> io::Result<TcpStream> {
    match (source, forward_to) {
        // The kernel selects 127.0.0.1 for connections to loopback addresses, so binding the socket
        // is unnecessary.
        (IpAddr::V4(Ipv4Addr::LOCALHOST), _) => TcpStream::connect(forward_to).await,
        (IpAddr::V4(from), SocketAddr::V4(to)) if from.is_loopback() && to.ip().is_loopback() => {
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(forward_to).await
        }
        _ => TcpStream::connect(forward_to).await,
    }
}

/// Closes the write side and reads until the end of the stream, for at most [`TRUNCATE_LINGER`].
async fn close_gracefully(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut sink = tokio::io::sink();
    let _ = tokio::time::timeout(TRUNCATE_LINGER, tokio::io::copy(stream, &mut sink)).await;
}

/// What the reading half of a pipe passes to the writing half.
enum PipeItem {
    Data(Bytes),
    /// The stream has ended.
    End,
    /// Reading failed, so the connection is to be reset.
    Reset,
}

/// What the writing half does with the next item.
enum Action {
    /// Write it, subject to the faults of this rule.
    Pass(Rule),
    /// Keep it until the faults change.
    Hold,
    /// Discard it.
    Drop,
}

/// One direction of one connection.
struct Pipe {
    /// Id of the connection.
    id: u64,
    source: IpAddr,
    direction: Direction,
    rules: watch::Receiver<Rules>,
    counter: Arc<Counter>,
}

impl Pipe {
    /// Forwards bytes until the stream ends. The error states how the whole connection is to be
    /// closed.
    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), EarlyClose> {
        let (tx, rx) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
        let rules = self.rules.clone();
        let read = read_chunks(from, tx, rules, self.source, self.direction);
        // An error of the writing half also cancels the reading half, which may be waiting for
        // data.
        futures::future::try_join(read.map(Ok), self.write_items(rx, to))
            .await
            .map(|_| ())
    }

    /// Writes the items that the reading half sends, each at its due time and subject to the
    /// faults.
    async fn write_items(
        mut self,
        mut rx: mpsc::Receiver<(Instant, PipeItem)>,
        mut to: WriteHalf<'_>,
    ) -> Result<(), EarlyClose> {
        let mut rule_id = 0;
        let mut passed_bytes = 0;
        // A write fails when the receiving side has closed. Further bytes are then dropped; the
        // pipe in the other direction passes on how that side ended.
        let mut write_failed = false;
        while let Some((due, item)) = rx.recv().await {
            sleep_until(due).await;
            let Some(rule) = self.wait_until_allowed().await else {
                continue;
            };
            if rule.id != rule_id {
                (rule_id, passed_bytes) = (rule.id, 0);
            }
            let mut data = match item {
                PipeItem::Data(_) if write_failed => continue,
                PipeItem::Data(data) => data,
                PipeItem::End => {
                    let _ = to.shutdown().await;
                    continue;
                }
                PipeItem::Reset => return Err(EarlyClose::Reset),
            };
            let remaining_bytes = rule
                .fault
                .truncate_after
                .map(|limit| limit.saturating_sub(passed_bytes));
            let truncated = remaining_bytes.is_some_and(|remaining| remaining <= data.len() as u64);
            if let Some(remaining) = remaining_bytes {
                data.truncate(usize::try_from(remaining).unwrap_or(usize::MAX));
            }
            write_failed = self.write(&mut to, &data).await.is_err();
            passed_bytes += data.len() as u64;
            if truncated {
                return Err(EarlyClose::Truncate);
            }
        }
        Ok(())
    }

    /// Writes `data`. Returns early if the connection is frozen while the receiver does not read.
    async fn write(&mut self, to: &mut WriteHalf<'_>, data: &[u8]) -> io::Result<()> {
        let id = self.id;
        tokio::select! {
            written = to.write_all(data) => written?,
            _ = self.rules.wait_for(|rules| rules.frozen.contains(&id)) => return Ok(()),
        }
        let delivered = &self.counter.delivered[self.direction as usize];
        delivered.fetch_add(data.len() as u64, Ordering::SeqCst);
        Ok(())
    }

    /// Waits while items are held back, then returns the faults that apply to the next item, or
    /// `None` if it has to be dropped.
    async fn wait_until_allowed(&mut self) -> Option<Rule> {
        loop {
            match self.next_action() {
                Action::Pass(rule) => return Some(rule),
                Action::Drop => return None,
                Action::Hold => self.rules.changed().await.ok()?,
            }
        }
    }

    /// Decides what to do with the next item under the current faults.
    fn next_action(&mut self) -> Action {
        let rules = self.rules.borrow_and_update();
        let rule = rules.rule(self.source, self.direction);
        if rules.frozen.contains(&self.id) {
            Action::Drop
        } else if rule.fault.stalled {
            Action::Hold
        } else {
            Action::Pass(rule.clone())
        }
    }
}

/// Reads chunks until the stream ends, no faster than the bandwidth limit, and sends them to the
/// writing half with the times at which they are due.
async fn read_chunks(
    mut from: ReadHalf<'_>,
    tx: mpsc::Sender<(Instant, PipeItem)>,
    rules: watch::Receiver<Rules>,
    source: IpAddr,
    direction: Direction,
) {
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(MAX_CHUNK_BYTES);
        let read = from.read_buf(&mut (&mut buf).limit(MAX_CHUNK_BYTES)).await;
        let fault = rules.borrow().rule(source, direction).fault.clone();
        let item = match read {
            Ok(0) => PipeItem::End,
            Ok(_) => PipeItem::Data(buf.split().freeze()),
            Err(_) => PipeItem::Reset,
        };
        let last = !matches!(item, PipeItem::Data(_));
        if let (PipeItem::Data(data), Some(bandwidth)) = (&item, &fault.bandwidth) {
            sleep_until(bandwidth.reserve(data.len())).await;
        }
        if tx.send((Instant::now() + fault.delay, item)).await.is_err() || last {
            return;
        }
    }
}
