//! The configuration that is in force: routes, services, teams and limits.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::names::{RegionName, RouteName, ServiceName, TeamName};

/// One complete version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Version number; later versions have higher numbers.
    pub version: u64,
    /// Routes, which are looked up by host and path.
    pub routes: RouteTable,
    /// Services by name.
    pub services: IndexMap<ServiceName, Service>,
    /// Teams by name.
    pub teams: IndexMap<TeamName, Arc<Team>>,
    /// Teams by their API keys; a team may have several.
    pub keys: HashMap<ApiKey, Arc<Team>>,
    /// Limits on the size and duration of callers' requests.
    pub limits: Limits,
    /// The parts of this version that could not be read.
    pub unreadable: Unreadable,
}

/// Parts of a version that could not be read. Requests that may rest on them are
/// refused until the next version, but not for good.
#[derive(Clone, Debug, Default)]
pub struct Unreadable {
    /// Number of teams. A key that no other team has may be one of theirs.
    pub teams: usize,
    /// Number of services. A route may name one of them.
    pub services: usize,
    /// Routes.
    pub routes: Vec<UnreadableRoute>,
}

/// What is known of a route that could not be read.
#[derive(Clone, Debug)]
pub struct UnreadableRoute {
    /// Its name.
    pub name: Option<RouteName>,
    /// The requests that it is for.
    pub place: Option<RoutePlace>,
}

/// Host and path prefix of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoutePlace {
    /// Host in lower case, without a port.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
}

/// An API key that a caller sends to identify its team. `Debug` does not print
/// its text.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

/// How requests of one host and path prefix are routed.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique among routes.
    pub name: RouteName,
    /// Host in lower case, without a port.
    pub host: Arc<str>,
    /// Prefix of the path; starts and ends with a slash.
    pub prefix: Arc<str>,
    /// How often its requests may run.
    pub kind: RequestKind,
    /// Longest time that a caller waits for a response; `None` when the route sets
    /// none.
    pub timeout: Option<Duration>,
    /// Latency up to which a response has its full value for the caller.
    pub target_latency: Duration,
    /// Largest number of endpoints to which one request is sent; at least 1.
    pub max_attempts: u32,
    /// Priority of its requests; 0 is the highest.
    pub priority: u32,
    /// Regions in which its requests may run; empty allows all.
    pub home_regions: Vec<RegionName>,
    /// Requests need no API key.
    pub public: bool,
    /// Requests for one object prefer one endpoint, because an endpoint that
    /// handled an object recently handles it faster.
    pub sticky: bool,
    /// Services among which requests are split. Invariant: not empty, and the sum
    /// of the weights is positive.
    pub services: Vec<WeightedService>,
}

/// One service of a route with its share of the route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the route's other services; finite and not negative.
    pub weight: f64,
}

/// How often a request may run, and whether its body is large.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    NonIdempotent,
    /// It may run at most once, and its body is large.
    Upload,
}

/// A group of backend servers that handle the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique among services.
    pub name: ServiceName,
    /// Number of connections that an endpoint accepts from all VMs together.
    pub max_connections: u32,
    /// How long an endpoint is cold after its start, and accepts only
    /// `cold_rate`.
    pub cold_time: Duration,
    /// Rate in requests a second that a cold endpoint accepts from all VMs together.
    pub cold_rate: f64,
}

/// A team with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name, unique among teams.
    pub name: TeamName,
    /// Priority of its requests, which replaces that of the route; `None` keeps
    /// the route's.
    pub priority: Option<u32>,
    /// Rate in requests a second over all VMs; zero means no limit.
    pub rate: f64,
    /// Number of requests that are admitted beyond the rate; zero means none.
    pub burst: f64,
    /// Regions in which its requests may run; empty allows all.
    pub home_regions: Vec<RegionName>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest size of a request head in bytes.
    pub head_bytes: usize,
    /// Largest size of a request body in bytes.
    pub body_bytes: u64,
    /// Longest time until a request head has been received.
    pub head_timeout: Duration,
    /// Longest time that a connection may be idle between two requests.
    pub idle_timeout: Duration,
}

/// Routes by host. Those of one host are sorted by prefix, the longest first.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
}

impl Deployment {
    /// Completes what is known of unreadable routes by those of the same names in an
    /// older version.
    pub fn locate_unreadable_routes(&mut self, older: &Self) {
        for route in &mut self.unreadable.routes {
            if route.place.is_none()
                && let Some(name) = &route.name
            {
                route.place = older.place_of(name);
            }
        }
    }

    fn place_of(&self, name: &RouteName) -> Option<RoutePlace> {
        let sound = self.routes.iter().find(|route| route.name == *name);
        let unreadable = || {
            let mut routes = self.unreadable.routes.iter();
            routes.find(|route| route.name.as_ref() == Some(name))
        };
        match sound {
            Some(route) => Some(RoutePlace {
                host: Arc::clone(&route.host),
                prefix: Arc::clone(&route.prefix),
            }),
            None => unreadable()?.place.clone(),
        }
    }

    /// Whether an unreadable route may be the one for a request, in place of `found`,
    /// the best one that could be read.
    pub fn may_belong_to_unreadable_route(
        &self,
        host: &str,
        path: &str,
        found: Option<&Route>,
    ) -> bool {
        let host = without_port(host);
        self.unreadable
            .routes
            .iter()
            .any(|route| match &route.place {
                Some(place) => {
                    host.eq_ignore_ascii_case(&place.host)
                        && path.starts_with(&*place.prefix)
                        && found.is_none_or(|found| place.prefix.len() >= found.prefix.len())
                }
                None => found.is_none(),
            })
    }
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

impl RouteTable {
    /// Builds the table.
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

    /// Finds the route of a host whose prefix is the longest one that matches
    /// `path`.
    ///
    /// The case of the host and a port after it are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// All routes, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

impl Route {
    /// Selects the service for a request by weight. `spread` is a number that is
    /// uniformly distributed over requests, such as a hash.
    pub fn select_service(&self, spread: u64) -> &WeightedService {
        let total: f64 = self.services.iter().map(|service| service.weight).sum();
        let mut point = crate::steering::placement::unit_interval(spread) * total;
        for service in &self.services {
            point -= service.weight;
            if point < 0.0 {
                return service;
            }
        }
        // Rounding errors can leave `point` at zero or above after the last service.
        &self.services[self.services.len() - 1]
    }
}

impl RequestKind {
    /// Returns true if the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == Self::Idempotent
    }
}

impl ApiKey {
    /// Creates a key from its text.
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
