//! A pool of reusable connections to backend servers.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::backend::{Busy, Connection, Idle, MAX_VERIFIED_AGE, Verification, Verified};
use super::response_id::ResponseId;
use crate::sync::lock;

/// Default time for which a connection may stay idle. Backend servers close
/// idle connections themselves, and a request sent on a closed connection is
/// lost.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// Time limit for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Open connections to backend servers, grouped by endpoint.
#[derive(Debug)]
pub struct Pool {
    /// Source address of the connections.
    local: IpAddr,
    limits: PoolLimits,
    endpoints: Arc<Mutex<HashMap<SocketAddr, Endpoint>>>,
    /// Wakes requests that wait for a connection when one is put back or
    /// closed.
    changed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Endpoint {
    /// Connections that are open or being opened, including the idle ones.
    open: usize,
    /// Idle connections; the one used last is at the end.
    idle: Vec<Connection<Idle>>,
}

/// Limits on the reuse of idle connections.
#[derive(Clone, Copy, Debug)]
pub struct PoolLimits {
    /// Longest time since the last response on a connection for it to be used
    /// for a non-idempotent request. A longer time opens fewer connections, but
    /// loses more requests on connections that have failed unnoticed.
    pub max_verified_age: Duration,
    /// Longest idle time of a connection whose backend server announces no
    /// limit.
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

/// Requirements of a request on its connection.
#[derive(Clone, Copy, Debug)]
pub struct CheckoutParams {
    /// Address of the backend server.
    pub endpoint: SocketAddr,
    /// Largest number of connections that this VM may have open to the backend
    /// server. 0 is treated as 1.
    pub limit: usize,
    /// The request may be sent again if the connection turns out to be dead.
    pub idempotent: bool,
    /// Id that the backend server repeats in its response. The connection has carried
    /// no other request with it. `None` if it repeats none: the connection is new.
    pub response_id: Option<ResponseId>,
    /// Time until which the request waits for a connection.
    pub deadline: Instant,
}

/// Why no connection was available. Nothing was sent.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum PoolError {
    /// The backend server does not accept connections.
    #[error("cannot connect to {endpoint}: {source}")]
    Connect {
        /// Address of the backend server.
        endpoint: SocketAddr,
        /// The error of the connection attempt.
        source: std::io::Error,
    },
    /// All connections were busy until the deadline.
    #[error("no connection to {0} became free before the deadline")]
    Full(SocketAddr),
}

/// The next step for a request that needs a connection.
#[derive(Debug)]
enum CheckoutStep {
    /// Use this idle connection if it is still open.
    Reuse(Connection<Idle>),
    /// Open a new connection, which the guard counts.
    Open(OpenGuard),
    /// The limit is reached, and the request cannot use this idle connection:
    /// close it, so that another one can be opened.
    Close(Connection<Idle>),
    /// The limit is reached, and no connection is idle.
    Wait,
}

/// Counts one open connection until the guard is dropped.
#[derive(Debug)]
struct OpenGuard {
    endpoint: SocketAddr,
    endpoints: Arc<Mutex<HashMap<SocketAddr, Endpoint>>>,
    changed: Arc<Notify>,
}

impl Pool {
    /// Creates a pool that connects from the address `local`, with the default
    /// limits.
    #[must_use]
    pub fn new(local: IpAddr) -> Self {
        Self::with_limits(local, PoolLimits::default())
    }

    /// Creates a pool that connects from the address `local`.
    #[must_use]
    pub fn with_limits(local: IpAddr, limits: PoolLimits) -> Self {
        Self {
            local,
            limits,
            endpoints: Arc::default(),
            changed: Arc::default(),
        }
    }

    /// Returns a connection that is ready for the request. It may be an idle
    /// one, a new one, or one that another request puts back before the
    /// deadline.
    ///
    /// # Errors
    ///
    /// Fails when the backend server accepts no connection, or when all
    /// connections stay busy until the deadline.
    pub async fn checkout(&self, params: &CheckoutParams) -> Result<Connection<Busy>, PoolError> {
        loop {
            let notified = self.changed.notified();
            tokio::pin!(notified);
            // Registers before the state is read, so that no change is missed.
            notified.as_mut().enable();
            match self.next_step(params, Instant::now()) {
                CheckoutStep::Reuse(connection) => {
                    if let Some(connection) = self.reuse(connection, params).await {
                        return Ok(connection);
                    }
                }
                CheckoutStep::Open(guard) => {
                    let connection = self.open(params, guard).await?;
                    return Ok(connection.start(params.response_id));
                }
                CheckoutStep::Close(connection) => {
                    connection.close().await;
                }
                CheckoutStep::Wait => {
                    let deadline = tokio::time::Instant::from_std(params.deadline);
                    tokio::time::timeout_at(deadline, notified)
                        .await
                        .map_err(|_| PoolError::Full(params.endpoint))?;
                }
            }
        }
    }

    /// Returns a connection to the pool after it has delivered a whole
    /// response. One that has carried as many requests as it may is closed.
    pub fn put_back(&self, connection: Connection<Verified>) {
        self.put_back_with_idle_limit(connection, self.limits.idle_limit);
    }

    /// Like [`Pool::put_back`], with an idle limit for this connection. It must
    /// be shorter than the time for which the backend server keeps the
    /// connection open.
    pub fn put_back_with_idle_limit(&self, connection: Connection<Verified>, idle_limit: Duration) {
        if connection.is_used_up() {
            return;
        }
        let endpoint = connection.endpoint();
        self.lock()
            .entry(endpoint)
            .or_default()
            .idle
            .push(connection.into_idle(idle_limit));
        self.changed.notify_waiters();
    }

    /// Closes all idle connections to an endpoint. Used when another connection
    /// to it has stopped delivering data, since these may have failed as well.
    pub fn close_idle(&self, endpoint: SocketAddr) {
        let idle = self
            .lock()
            .get_mut(&endpoint)
            .map(|e| std::mem::take(&mut e.idle));
        drop(idle);
    }

    /// Closes the connections that have exceeded their idle limit.
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

    fn next_step(&self, params: &CheckoutParams, now: Instant) -> CheckoutStep {
        let mut endpoints = self.lock();
        let endpoint = endpoints.entry(params.endpoint).or_default();
        let expired = endpoint.take_expired(now);
        let step = endpoint
            .take_usable(params, self.limits.max_verified_age, now)
            .map(CheckoutStep::Reuse)
            .or_else(|| {
                (endpoint.open < params.limit.max(1)).then(|| self.count_open(params, endpoint))
            })
            .or_else(|| endpoint.idle.pop().map(CheckoutStep::Close))
            .unwrap_or(CheckoutStep::Wait);
        drop(endpoints);
        drop(expired);
        step
    }

    /// Counts a connection that is about to be opened.
    fn count_open(&self, params: &CheckoutParams, endpoint: &mut Endpoint) -> CheckoutStep {
        endpoint.open += 1;
        CheckoutStep::Open(OpenGuard {
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

    /// Starts a request on an idle connection; `None` when the connection was
    /// closed or its last response is too old for the request.
    async fn reuse(
        &self,
        mut connection: Connection<Idle>,
        params: &CheckoutParams,
    ) -> Option<Connection<Busy>> {
        if !connection.is_ready().await {
            return None;
        }
        match connection.verify(Instant::now(), self.limits.max_verified_age) {
            Verification::Verified(connection) => Some(connection.start(params.response_id)),
            Verification::TooOld(connection) if params.idempotent => {
                Some(connection.start_idempotent(params.response_id))
            }
            Verification::TooOld(_) => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Endpoint>> {
        lock(&self.endpoints)
    }
}

impl Endpoint {
    /// Takes the most recently used idle connection, if the request may run on
    /// it.
    fn take_usable(
        &mut self,
        params: &CheckoutParams,
        max_verified_age: Duration,
        now: Instant,
    ) -> Option<Connection<Idle>> {
        let usable = self.idle.iter().rposition(|connection| {
            (params.idempotent || connection.age(now) <= max_verified_age)
                && connection.can_tell(params.response_id)
        })?;
        Some(self.idle.remove(usable))
    }

    /// Takes the idle connections that were closed or have exceeded their idle
    /// limit.
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
