//! The configuration that is in force: routes, services, teams and limits.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{RegionName, RouteName, ServiceName, TeamName};

/// One version of the configuration, as a whole.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Number of the version; later versions have higher numbers.
    pub version: u64,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Teams by name.
    pub teams: IndexMap<TeamName, Arc<Team>>,
    /// Teams by the keys that they hold.
    pub keys: HashMap<ApiKey, Arc<Team>>,
    /// What callers may send.
    pub limits: Limits,
}

/// A key that a caller shows. Its text is not printed.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

/// Where requests of one host and path prefix go, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Host, without a port.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be done with its requests.
    pub kind: RequestKind,
    /// Longest time that a caller waits for an answer.
    pub timeout: Option<Duration>,
    /// Time within which an answer is of full use to the caller.
    pub target_latency: Duration,
    /// Endpoints that one request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Regions in which requests may run; empty allows all.
    pub home_regions: Vec<RegionName>,
    /// No key is needed.
    pub public: bool,
    /// An endpoint that handled an object recently handles it faster.
    pub sticky: bool,
    /// Services with their weights. Invariant: not empty, and the sum of the
    /// weights is positive.
    pub services: Vec<WeightedService>,
}

/// One service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight among the parts; finite and not negative.
    pub weight: f64,
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// It may run at most once, and its body is large.
    Upload,
}

/// A group of backend servers with the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that an endpoint accepts from all VMs together.
    pub max_connections: u32,
    /// How long an endpoint is cold after its start.
    pub cold_time: Duration,
    /// Requests a second that a cold endpoint takes from all VMs together.
    pub cold_rate: f64,
}

/// A team with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name.
    pub name: TeamName,
    /// Rank of its requests in place of the route's.
    pub priority: Option<u32>,
    /// Requests a second over all VMs; zero means no limit.
    pub rate: f64,
    /// Requests beyond the rate; zero means none.
    pub burst: f64,
    /// Regions in which its requests may run; empty allows all.
    pub home_regions: Vec<RegionName>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request in bytes.
    pub head_bytes: usize,
    /// Largest body of a request in bytes.
    pub body_bytes: u64,
    /// Longest time for the head of a request.
    pub head_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// Routes by host, the longest prefix first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Orders routes for look-ups.
    pub fn new(routes: impl IntoIterator<Item = Route>) -> Self {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            hosts
                .entry(Arc::clone(&route.host))
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// The route with the longest prefix that begins `path`.
    ///
    /// A port after the host is ignored, and so is the case of the host.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

impl Route {
    /// The part of the route for a request, by a number that is spread evenly.
    pub fn select_service(&self, spread: u64) -> &WeightedService {
        let total: f64 = self.services.iter().map(|part| part.weight).sum();
        let mut point = crate::steering::placement::unit_interval(spread) * total;
        for part in &self.services {
            point -= part.weight;
            if point < 0.0 {
                return part;
            }
        }
        // Rounding can leave a rest after the last part.
        &self.services[self.services.len() - 1]
    }
}

impl RequestKind {
    /// The request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

impl ApiKey {
    /// Takes the text of a key.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(redacted)")
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
