//! Connections to backend servers that wait for the next request.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::backend::{Busy, Connection, Idle, MAX_VERIFIED_AGE, Verified};
use crate::sync::lock;

/// How long a connection may wait for its next request. Backend servers close
/// idle connections themselves, and a request on a closed one is lost.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Time for a new connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections by endpoint.
#[derive(Debug)]
pub struct Pool {
    local: IpAddr,
    limits: PoolLimits,
    endpoints: Arc<Mutex<HashMap<SocketAddr, Endpoint>>>,
    /// Wakes requests that wait for a connection.
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Endpoint {
    /// Connections that are open or being opened.
    open: usize,
    idle: Vec<Connection<Idle>>,
}

/// How long connections may wait for their next request.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Age of the last proof of life under a non-idempotent request. A longer
    /// age saves connections; a request on a connection that went silent
    /// meanwhile is lost.
    pub max_verified_age: Duration,
    /// Longest wait of a connection whose backend server tells no limit.
    pub idle_limit: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_verified_age: MAX_VERIFIED_AGE,
            idle_limit: IDLE_LIMIT,
        }
    }
}

/// What a request needs of a connection.
#[derive(Clone, Copy, Debug)]
pub struct CheckoutParams {
    /// Address of the backend server.
    pub endpoint: SocketAddr,
    /// Connections that this VM may have open to it; at least 1.
    pub limit: usize,
    /// The request may be sent again if the connection turns out to be dead.
    pub idempotent: bool,
    /// Until when the request must have been sent.
    pub deadline: Instant,
}

/// Why there is no connection. Nothing was sent.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PoolError {
    /// The backend server does not accept connections.
    #[error("cannot connect to {endpoint}: {source}")]
    Connect {
        /// Address of the backend server.
        endpoint: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// All connections were busy until the deadline.
    #[error("no connection to {0} became free")]
    Full(SocketAddr),
}

/// What to do for a request that needs a connection.
#[derive(Debug)]
enum Pick {
    Try(Connection<Idle>),
    Open(OpenGuard),
    Close(Connection<Idle>),
    Wait,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct OpenGuard {
    endpoint: SocketAddr,
    endpoints: Arc<Mutex<HashMap<SocketAddr, Endpoint>>>,
    changed: Arc<Notify>,
}

impl Pool {
    /// A pool whose connections come from `local`, with the default limits.
    #[must_use]
    pub fn new(local: IpAddr) -> Self {
        Self::with_limits(local, PoolLimits::default())
    }

    /// A pool whose connections come from `local`.
    #[must_use]
    pub fn with_limits(local: IpAddr, limits: PoolLimits) -> Self {
        Self {
            local,
            limits,
            endpoints: Arc::default(),
            changed: Arc::default(),
        }
    }

    /// Gets a connection and begins a request on it.
    ///
    /// # Errors
    ///
    /// Fails when the backend server accepts no connection, or all stay busy.
    pub async fn checkout(&self, params: &CheckoutParams) -> Result<Connection<Busy>, PoolError> {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            // Changes from here on must not be missed.
            notified.as_mut().enable();
            match self.pick(params, Instant::now()) {
                Pick::Try(connection) => {
                    if let Some(connection) = self.start(connection, params).await {
                        return Ok(connection);
                    }
                }
                Pick::Open(guard) => return Ok(self.open(params, guard).await?.start()),
                Pick::Close(connection) => {
                    connection.close().await;
                }
                Pick::Wait => {
                    let deadline = tokio::time::Instant::from_std(params.deadline);
                    tokio::time::timeout_at(deadline, notified)
                        .await
                        .map_err(|_| PoolError::Full(params.endpoint))?;
                }
            }
        }
    }

    /// Takes back a connection that delivered a whole answer.
    pub fn put_back(&self, connection: Connection<Verified>) {
        self.put_back_with_idle_limit(connection, self.limits.idle_limit);
    }

    /// Takes back a connection that delivered a whole answer, and whose backend
    /// server keeps it for longer than `idle_limit`.
    pub fn put_back_with_idle_limit(&self, connection: Connection<Verified>, idle_limit: Duration) {
        let endpoint = connection.endpoint();
        self.lock()
            .entry(endpoint)
            .or_default()
            .idle
            .push(connection.rest(idle_limit));
        self.changed.notify_waiters();
    }

    /// Closes all idle connections to an endpoint, because another connection
    /// to it went silent.
    pub fn close_idle(&self, endpoint: SocketAddr) {
        let idle = self
            .lock()
            .get_mut(&endpoint)
            .map(|e| std::mem::take(&mut e.idle));
        drop(idle);
    }

    /// Closes connections that waited too long.
    pub fn close_expired(&self, now: Instant) {
        let mut expired = Vec::new();
        let mut endpoints = self.lock();
        for endpoint in endpoints.values_mut() {
            expired.extend(endpoint.take_expired(now));
        }
        endpoints.retain(|_, endpoint| endpoint.open > 0);
        drop(endpoints);
        drop(expired);
    }

    fn pick(&self, params: &CheckoutParams, now: Instant) -> Pick {
        let mut endpoints = self.lock();
        let endpoint = endpoints.entry(params.endpoint).or_default();
        let expired = endpoint.take_expired(now);
        let pick = endpoint
            .take_usable(params, self.limits.max_verified_age, now)
            .map(Pick::Try)
            .or_else(|| {
                (endpoint.open < params.limit.max(1)).then(|| self.count_open(params, endpoint))
            })
            .or_else(|| endpoint.idle.pop().map(Pick::Close))
            .unwrap_or(Pick::Wait);
        drop(endpoints);
        drop(expired);
        pick
    }

    fn count_open(&self, params: &CheckoutParams, endpoint: &mut Endpoint) -> Pick {
        endpoint.open += 1;
        Pick::Open(OpenGuard {
            endpoint: params.endpoint,
            endpoints: Arc::clone(&self.endpoints),
            changed: Arc::clone(&self.changed),
        })
    }

    async fn open(
        &self,
        params: &CheckoutParams,
        guard: OpenGuard,
    ) -> Result<Connection<Verified>, PoolError> {
        let left = params.deadline.saturating_duration_since(Instant::now());
        let opening = Connection::open(params.endpoint, self.local, guard);
        tokio::time::timeout(CONNECT_TIMEOUT.min(left), opening)
            .await
            .unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()))
            .map_err(|source| PoolError::Connect {
                endpoint: params.endpoint,
                source,
            })
    }

    async fn start(
        &self,
        mut connection: Connection<Idle>,
        params: &CheckoutParams,
    ) -> Option<Connection<Busy>> {
        if !connection.is_ready().await {
            return None;
        }
        match connection.proven(Instant::now(), self.limits.max_verified_age) {
            Ok(connection) => Some(connection.start()),
            Err(connection) if params.idempotent => Some(connection.start_idempotent()),
            Err(_) => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Endpoint>> {
        lock(&self.endpoints)
    }
}

impl Endpoint {
    /// The newest idle connection, if the request may run on it.
    fn take_usable(
        &mut self,
        params: &CheckoutParams,
        max_verified_age: Duration,
        now: Instant,
    ) -> Option<Connection<Idle>> {
        let newest = self.idle.last()?;
        let usable = params.idempotent || newest.age(now) <= max_verified_age;
        if usable { self.idle.pop() } else { None }
    }

    fn take_expired(&mut self, now: Instant) -> Vec<Connection<Idle>> {
        let (expired, idle) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|c| c.is_closed() || c.is_expired(now));
        self.idle = idle;
        expired
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut endpoints = lock(&self.endpoints);
        if let Some(endpoint) = endpoints.get_mut(&self.endpoint) {
            endpoint.open = endpoint.open.saturating_sub(1);
        }
        drop(endpoints);
        self.changed.notify_waiters();
    }
}
