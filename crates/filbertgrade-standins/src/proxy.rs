//! TCP proxy that injects faults at run time.
//!
//! Each direction of a connection passes through a pipe: bytes are read in parts of at most
//! 16 KiB, paced by the bandwidth limit, and written after the delay. Up to 4 MiB are in flight in
//! a pipe; then the sender meets back-pressure. Connections are accepted at once even under a
//! fault, because the kernel completes the handshake; a delay applies to data and to its end.
//! Delays are rounded up to whole milliseconds.
//!
//! The proxy connects onward from the source IP address of the caller if both the caller and the
//! target have IPv4 loopback addresses, so the target sees who called.

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

/// Largest part in bytes that is read, paced and written at once.
const PART_BYTES: usize = 16 * 1024;

/// Number of parts in flight per direction. 256 parts are 4 MiB, above the product of 280 Mbit/s
/// and 55 ms (1.9 MB), so the delay alone does not limit the bandwidth of the modelled links.
const PARTS_IN_FLIGHT: usize = 256;

/// Time for which a truncated connection is still read, so that unread bytes do not turn its end
/// into a reset.
const TRUNCATE_LINGER: Duration = Duration::from_secs(1);

/// Direction of bytes through a proxy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the side that opened the connection to the forward address.
    ToServer,
    /// From the forward address to the side that opened the connection.
    ToClient,
}

/// Faults of one direction. The default is no fault.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Time that each byte takes. Default zero.
    pub delay: Duration,
    /// Bandwidth that all connections with this fault share. Default no limit.
    pub bandwidth: Option<Bandwidth>,
    /// Holds all bytes and the end of the stream until this is switched off. Default off.
    pub stalled: bool,
    /// Closes a connection in both directions, without a reset, after this number of bytes has
    /// passed on it since the fault was set. Default no limit.
    pub truncate_after: Option<u64>,
}

/// Bandwidth limit. Clones share it, so one limit can cover several directions and proxies.
#[derive(Clone, Debug)]
pub struct Bandwidth(Arc<Pacer>);

impl Bandwidth {
    /// Creates a limit in bytes per second. Zero counts as one.
    #[must_use]
    pub fn new(bytes_per_second: u64) -> Bandwidth {
        let bytes_per_second = bytes_per_second.max(1);
        Bandwidth(Arc::new(Pacer {
            bytes_per_second,
            free_at: Mutex::new(Instant::now()),
        }))
    }

    /// Reserves the time to send `bytes` and returns its end.
    fn reserve(&self, bytes: usize) -> Instant {
        let time = Duration::from_secs_f64(bytes as f64 / self.0.bytes_per_second as f64);
        let mut free_at = lock(&self.0.free_at);
        *free_at = (*free_at).max(Instant::now()) + time;
        *free_at
    }
}

#[derive(Debug)]
struct Pacer {
    bytes_per_second: u64,
    free_at: Mutex<Instant>,
}

/// Bytes that were delivered, and connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProxyCounts {
    /// Bytes delivered to the forward address.
    pub to_server: u64,
    /// Bytes delivered to the side that opened the connection.
    pub to_client: u64,
    /// Connections accepted, including refused ones.
    pub connections: u64,
}

/// A running proxy. Dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct FaultProxy {
    addr: SocketAddr,
    shared: Arc<Shared>,
    /// Connections end when this sender is dropped.
    _stop: watch::Sender<()>,
    accept: tokio::task::JoinHandle<()>,
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
        let accept = tokio::spawn(accept_loop(listener, Arc::clone(&shared), stopped));
        Ok(FaultProxy {
            addr,
            shared,
            _stop: stop,
            accept,
        })
    }

    /// Returns the address that the proxy listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends new connections to another address. Open connections stay.
    pub fn set_forward_to(&self, forward_to: SocketAddr) {
        self.shared
            .rules
            .send_modify(|rules| rules.forward_to = forward_to);
    }

    /// Sets the faults of one direction for every source without faults of its own.
    pub fn set_fault(&self, direction: Direction, fault: Fault) {
        self.shared.rules.send_modify(|rules| {
            let rule = rules.next_rule(fault);
            rules.all[direction as usize] = rule;
        });
    }

    /// Sets the faults of one direction for connections from `source`. They replace the faults
    /// that hold for every source.
    pub fn set_fault_from(&self, source: IpAddr, direction: Direction, fault: Fault) {
        self.shared.rules.send_modify(|rules| {
            let rule = rules.next_rule(fault);
            rules.by_source.insert((source, direction as usize), rule);
        });
    }

    /// Resets new connections until this is switched off.
    pub fn set_refuse(&self, refuse: bool) {
        self.shared.rules.send_modify(|rules| rules.refuse = refuse);
    }

    /// Resets new connections from `source` until this is switched off.
    pub fn set_refuse_from(&self, source: IpAddr, refuse: bool) {
        self.shared.rules.send_modify(|rules| {
            if refuse {
                rules.refused_sources.insert(source);
            } else {
                rules.refused_sources.remove(&source);
            }
        });
    }

    /// Ends every fault that was set. Frozen connections stay frozen.
    pub fn clear_faults(&self) {
        self.shared.rules.send_modify(|rules| {
            rules.all = Default::default();
            rules.by_source.clear();
            rules.refuse = false;
            rules.refused_sources.clear();
        });
    }

    /// Resets every open connection on both sides.
    pub fn cut_open(&self) {
        self.cut_where(|_| true);
    }

    /// Resets every open connection from `source` on both sides.
    pub fn cut_open_from(&self, source: IpAddr) {
        self.cut_where(|from| from == source);
    }

    /// Makes every open connection half-open for ever: it accepts and drops all bytes and does
    /// not pass on its end. New connections work.
    pub fn freeze_open(&self) {
        self.freeze_where(|_| true);
    }

    /// Makes every open connection from `source` half-open for ever.
    pub fn freeze_open_from(&self, source: IpAddr) {
        self.freeze_where(|from| from == source);
    }

    /// Returns the number of open connections, including frozen ones.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.shared.rules.borrow().open.len()
    }

    /// Returns the sum over all sources.
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

    fn cut_where(&self, selects: impl Fn(IpAddr) -> bool) {
        self.shared.rules.send_modify(|rules| {
            let selected = rules.open.iter().filter(|(_, source)| selects(**source));
            rules.cut.extend(selected.map(|(id, _)| *id));
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
        self.accept.abort();
    }
}

#[derive(Debug)]
struct Shared {
    /// Connections wait on this for changes that concern them.
    rules: watch::Sender<Rules>,
    counters: Mutex<BTreeMap<IpAddr, Arc<Counter>>>,
}

impl Shared {
    fn counter(&self, source: IpAddr) -> Arc<Counter> {
        Arc::clone(lock(&self.counters).entry(source).or_default())
    }
}

#[derive(Debug, Default)]
struct Counter {
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

#[derive(Debug)]
struct Rules {
    forward_to: SocketAddr,
    all: [Rule; 2],
    by_source: HashMap<(IpAddr, usize), Rule>,
    refuse: bool,
    refused_sources: HashSet<IpAddr>,
    /// Source of each open connection by its id.
    open: HashMap<u64, IpAddr>,
    /// Ids of connections to reset.
    cut: HashSet<u64>,
    /// Ids of half-open connections; always a subset of `open`.
    frozen: HashSet<u64>,
    next_connection: u64,
    last_rule: u64,
}

/// Faults with an id, which tells when a byte count has to start again.
#[derive(Clone, Debug, Default)]
struct Rule {
    id: u64,
    fault: Fault,
}

impl Rules {
    fn new(forward_to: SocketAddr) -> Rules {
        Rules {
            forward_to,
            all: Default::default(),
            by_source: HashMap::new(),
            refuse: false,
            refused_sources: HashSet::new(),
            open: HashMap::new(),
            cut: HashSet::new(),
            frozen: HashSet::new(),
            next_connection: 0,
            last_rule: 0,
        }
    }

    fn next_rule(&mut self, fault: Fault) -> Rule {
        self.last_rule += 1;
        Rule {
            id: self.last_rule,
            fault,
        }
    }

    fn rule(&self, source: IpAddr, direction: Direction) -> &Rule {
        let own = self.by_source.get(&(source, direction as usize));
        own.unwrap_or(&self.all[direction as usize])
    }

    fn close(&mut self, id: u64) {
        self.open.remove(&id);
        self.cut.remove(&id);
        self.frozen.remove(&id);
    }
}

/// How a connection ends before both of its streams have ended.
#[derive(Debug, Eq, PartialEq)]
enum Ending {
    Reset,
    Truncate,
}

async fn accept_loop(listener: TcpListener, shared: Arc<Shared>, stopped: watch::Receiver<()>) {
    loop {
        let Ok((client, from)) = listener.accept().await else {
            // Accepting fails for a short time when the process is out of file descriptors.
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
        // Other connections need not wake up for this.
        shared.rules.send_if_modified(|rules| {
            id = rules.next_connection;
            rules.next_connection += 1;
            rules.open.insert(id, source);
            false
        });
        let shared = Arc::clone(&shared);
        let mut stopped = stopped.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = stopped.changed() => {}
                () = carry(client, source, id, &shared) => {}
            }
            shared.rules.send_if_modified(|rules| {
                rules.close(id);
                false
            });
        });
    }
}

async fn carry(mut client: TcpStream, source: IpAddr, id: u64, shared: &Shared) {
    let forward_to = shared.rules.borrow().forward_to;
    let Ok(mut server) = connect(source, forward_to).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let mut cut = shared.rules.subscribe();
    let ending = {
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
            _ = cut.wait_for(|rules| rules.cut.contains(&id)) => Some(Ending::Reset),
            ended = futures::future::try_join(to_server, to_client) => ended.err(),
        }
    };
    match ending {
        Some(Ending::Reset) => {
            let _ = (client.set_zero_linger(), server.set_zero_linger());
        }
        Some(Ending::Truncate) => {
            let _ = tokio::join!(close_gently(&mut client), close_gently(&mut server));
        }
        None => {}
    }
}

async fn connect(source: IpAddr, forward_to: SocketAddr) -> io::Result<TcpStream> {
    match (source, forward_to) {
        // Connections to loopback addresses come from 127.0.0.1 by default.
        (IpAddr::V4(Ipv4Addr::LOCALHOST), _) => TcpStream::connect(forward_to).await,
        (IpAddr::V4(from), SocketAddr::V4(to)) if from.is_loopback() && to.ip().is_loopback() => {
            let socket = TcpSocket::new_v4()?;
            socket.bind(SocketAddr::new(source, 0))?;
            socket.connect(forward_to).await
        }
        _ => TcpStream::connect(forward_to).await,
    }
}

/// Closes the write side and reads until the end of the stream.
async fn close_gently(stream: &mut TcpStream) {
    let _ = stream.shutdown().await;
    let mut sink = tokio::io::sink();
    let _ = tokio::time::timeout(TRUNCATE_LINGER, tokio::io::copy(stream, &mut sink)).await;
}

/// What the reading end of a pipe hands to the writing end.
enum Item {
    Data(Bytes),
    End,
    Reset,
}

/// What to do with the next item at the writing end.
enum Verdict {
    Pass(Rule),
    Hold,
    Drop,
}

/// One direction of one connection.
struct Pipe {
    id: u64,
    source: IpAddr,
    direction: Direction,
    rules: watch::Receiver<Rules>,
    counter: Arc<Counter>,
}

impl Pipe {
    async fn run(self, from: ReadHalf<'_>, to: WriteHalf<'_>) -> Result<(), Ending> {
        let (tx, rx) = mpsc::channel(PARTS_IN_FLIGHT);
        let rules = self.rules.clone();
        let read = read_parts(from, tx, rules, self.source, self.direction);
        // An ending at the writing end also ends the reading, which may wait for data.
        futures::future::try_join(read.map(Ok), self.write_parts(rx, to))
            .await
            .map(|_| ())
    }

    async fn write_parts(
        mut self,
        mut rx: mpsc::Receiver<(Instant, Item)>,
        mut to: WriteHalf<'_>,
    ) -> Result<(), Ending> {
        let mut rule_id = 0;
        let mut passed = 0;
        // A write fails when the other side is gone. Bytes are then dropped; the pipe in the other
        // direction passes on how the other side ended.
        let mut broken = false;
        while let Some((due, item)) = rx.recv().await {
            sleep_until(due).await;
            let Some(rule) = self.released().await else {
                continue;
            };
            if rule.id != rule_id {
                (rule_id, passed) = (rule.id, 0);
            }
            let mut data = match item {
                Item::Data(_) if broken => continue,
                Item::Data(data) => data,
                Item::End => {
                    let _ = to.shutdown().await;
                    continue;
                }
                Item::Reset => return Err(Ending::Reset),
            };
            let left = rule
                .fault
                .truncate_after
                .map(|limit| limit.saturating_sub(passed));
            let truncated = left.is_some_and(|left| left <= data.len() as u64);
            if let Some(left) = left {
                data.truncate(usize::try_from(left).unwrap_or(usize::MAX));
            }
            broken = self.write(&mut to, &data).await.is_err();
            passed += data.len() as u64;
            if truncated {
                return Err(Ending::Truncate);
            }
        }
        Ok(())
    }

    /// Writes `data`, and gives up if the connection freezes while the receiver does not read.
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

    /// Waits until the next item may pass. Returns `None` if it has to be dropped.
    async fn released(&mut self) -> Option<Rule> {
        loop {
            match self.verdict() {
                Verdict::Pass(rule) => return Some(rule),
                Verdict::Drop => return None,
                Verdict::Hold => self.rules.changed().await.ok()?,
            }
        }
    }

    fn verdict(&mut self) -> Verdict {
        let rules = self.rules.borrow_and_update();
        let rule = rules.rule(self.source, self.direction);
        if rules.frozen.contains(&self.id) {
            Verdict::Drop
        } else if rule.fault.stalled {
            Verdict::Hold
        } else {
            Verdict::Pass(rule.clone())
        }
    }
}

/// Reads until the stream ends, at the pace of the bandwidth limit.
async fn read_parts(
    mut from: ReadHalf<'_>,
    tx: mpsc::Sender<(Instant, Item)>,
    rules: watch::Receiver<Rules>,
    source: IpAddr,
    direction: Direction,
) {
    let mut buf = BytesMut::new();
    loop {
        buf.reserve(PART_BYTES);
        let read = from.read_buf(&mut (&mut buf).limit(PART_BYTES)).await;
        let fault = rules.borrow().rule(source, direction).fault.clone();
        let item = match read {
            Ok(0) => Item::End,
            Ok(_) => Item::Data(buf.split().freeze()),
            Err(_) => Item::Reset,
        };
        let last = !matches!(item, Item::Data(_));
        if let (Item::Data(data), Some(bandwidth)) = (&item, &fault.bandwidth) {
            sleep_until(bandwidth.reserve(data.len())).await;
        }
        if tx.send((Instant::now() + fault.delay, item)).await.is_err() || last {
            return;
        }
    }
}
