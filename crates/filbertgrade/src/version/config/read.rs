//! Reads a checked configuration out of merged tables.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use filbertgrade_coord::names::{FailureDomainName, NameError, RegionName};
use filbertgrade_coord::weights::PROPAGATION_TIME;
use indexmap::IndexMap;
use ipnet::IpNet;

use super::tree::{Faults, Node, Place, Value, join};
use super::{Access, Config, ConfigError, Network, RegionConfig, ServiceConfig, TeamConfig};

const NAME: &str = "1 to 63 characters of a-z, 0-9 and '-'";

/// Callers ask again after this time, so a shorter one multiplies look-ups and
/// a longer one delays drains and moves.
const TTL_MS: RangeInclusive<i64> = 100..=600_000;

/// A step of the region weights needs some time to reach every VM.
const SETTLE_MS: RangeInclusive<i64> = 100..=600_000;

/// Slots, connections and weights; far above any backend server, and low
/// enough that sums over a fleet stay exact.
const COUNT: RangeInclusive<i64> = 1..=1_000_000;

const WEIGHT: RangeInclusive<i64> = 0..=1_000_000;

const BANDWIDTH_MBIT: RangeInclusive<i64> = 1..=1_000_000_000;

/// Longest latency that is accepted; a longer one is a wrong unit.
const MAX_LATENCY_MS: f64 = 10_000.0;

/// Names that other tables refer to.
struct Known {
    regions: IndexMap<RegionName, RegionConfig>,
    /// Region of every failure domain.
    domains: HashMap<FailureDomainName, RegionName>,
}

/// A reader of one table that notes which keys were asked for.
struct Table<'a> {
    at: Place,
    path: String,
    keys: &'a IndexMap<String, Node>,
    asked: Vec<&'static str>,
}

type Section<'a> = Option<Table<'a>>;

/// Makes a configuration of the merged tables.
///
/// # Errors
///
/// Lists every fault found by the parser and here.
pub(super) fn read(root: &Node, faults: Faults) -> Result<Config, ConfigError> {
    let mut reader = Reader { faults };
    let config = reader.config(root);
    let found = reader.faults.into_found();
    match config {
        Some(config) if found.is_empty() => Ok(config),
        _ => Err(ConfigError::new(found)),
    }
}

struct Reader {
    faults: Faults,
}

impl Reader {
    fn config(&mut self, root: &Node) -> Option<Config> {
        let mut root = self.table(root, "")?;
        let deployment = self.required(&mut root, "deployment", NAME);
        let deployment = deployment.and_then(|(node, path)| self.name::<RegionName>(node, &path));
        let lookup_ttl = self.lookup(&mut root);
        let shift = self.shift(&mut root);
        let known = self.regions(&mut root);
        let network = self.network(&mut root, &known);
        let services = self.services(&mut root, &known);
        let teams = self.teams(&mut root);
        let client_blocks = self.client_blocks(&mut root, &known);
        self.finish(&root);
        Some(Config {
            deployment: deployment?.to_string(),
            lookup_ttl: lookup_ttl?,
            shift_cap: shift?.0,
            shift_settle: shift?.1,
            network: network?,
            regions: known.regions,
            services,
            teams,
            client_blocks,
        })
    }

    fn lookup(&mut self, root: &mut Table<'_>) -> Option<Duration> {
        let mut table = self.section(root, "lookup")?;
        let ttl = self.integer(&mut table, "ttl_ms", &TTL_MS);
        self.finish(&table);
        Some(Duration::from_millis(ttl?.unsigned_abs()))
    }

    fn shift(&mut self, root: &mut Table<'_>) -> Option<(f64, Duration)> {
        let mut table = self.section(root, "shift")?;
        let accepted = "a number above 0 and at most 1";
        let cap = self.number(&mut table, "cap", accepted, |cap| cap > 0.0 && cap <= 1.0);
        let settle = match table.get("settle_ms") {
            None => Some(PROPAGATION_TIME),
            Some((node, path)) => self
                .integer_of(node, &path, &SETTLE_MS)
                .map(|ms| Duration::from_millis(ms.unsigned_abs())),
        };
        self.finish(&table);
        Some((cap?, settle?))
    }

    fn network(&mut self, root: &mut Table<'_>, known: &Known) -> Option<Network> {
        let mut table = self.section(root, "network")?;
        let store_region = self
            .required(&mut table, "store_region", "the name of a region")
            .and_then(|(node, path)| {
                let name = self.name::<RegionName>(node, &path)?;
                self.known_region(&name, node.at, &path, known);
                Some(name)
            });
        let domain_latency = self.latency(&mut table, "domain_latency_ms");
        let region_latency = self.latency(&mut table, "region_latency_ms");
        let client_latency = self.latency(&mut table, "client_latency_ms");
        let connect_cost = self.latency(&mut table, "connect_ms");
        let bandwidth = self.integer(&mut table, "region_bandwidth_mbit", &BANDWIDTH_MBIT);
        self.finish(&table);
        Some(Network {
            store_region: store_region?,
            domain_latency: domain_latency?,
            region_latency: region_latency?,
            client_latency: client_latency?,
            connect_cost: connect_cost?,
            region_bandwidth_mbit: bandwidth?.unsigned_abs(),
        })
    }

    fn regions(&mut self, root: &mut Table<'_>) -> Known {
        let mut known = Known {
            regions: IndexMap::new(),
            domains: HashMap::new(),
        };
        for (key, node, path) in self.entries(root, "regions", "at least one region") {
            let name = self.key_name::<RegionName>(key, node.at, &path);
            let region = self.region(node, &path, name.as_ref(), &mut known);
            if let Some(name) = name {
                known.regions.insert(name, region);
            }
        }
        known
    }

    fn region(
        &mut self,
        node: &Node,
        path: &str,
        name: Option<&RegionName>,
        known: &mut Known,
    ) -> RegionConfig {
        let mut region = RegionConfig {
            failure_domains: Vec::new(),
            arrivals: 1,
        };
        if let Some(mut table) = self.table(node, path) {
            region.failure_domains = self.failure_domains(&mut table, name, known);
            if let Some((node, path)) = table.get("arrivals")
                && let Some(arrivals) = self.integer_of(node, &path, &WEIGHT)
            {
                region.arrivals = count(arrivals);
            }
            self.finish(&table);
        }
        region
    }

    fn failure_domains(
        &mut self,
        table: &mut Table<'_>,
        region: Option<&RegionName>,
        known: &mut Known,
    ) -> Vec<FailureDomainName> {
        let accepted = "an array of at least one failure domain";
        let mut names = Vec::new();
        if let Some((node, path)) = self.required(table, "failure_domains", accepted) {
            for item in self.array(node, &path, accepted, false) {
                let Some(name) = self.name::<FailureDomainName>(item, &path) else {
                    continue;
                };
                let first = region.and_then(|r| known.domains.insert(name.clone(), r.clone()));
                if let Some(first) = first {
                    let problem = format!("failure domain {name} is already in region {first}");
                    let accepted = "every failure domain in exactly one region";
                    self.faults.add(item.at, &path, problem, accepted);
                    continue;
                }
                names.push(name);
            }
        }
        names
    }

    fn services(
        &mut self,
        root: &mut Table<'_>,
        known: &Known,
    ) -> IndexMap<super::ServiceName, ServiceConfig> {
        let mut services = IndexMap::new();
        // An address is one backend server, so it is in one failure domain
        // even when it serves several services.
        let mut domain_of = HashMap::new();
        for (key, node, path) in self.entries(root, "services", "at least one service") {
            let name = self.key_name::<super::ServiceName>(key, node.at, &path);
            let service = self.service(node, &path, known, &mut domain_of);
            if let (Some(name), Some(service)) = (name, service) {
                services.insert(name, service);
            }
        }
        services
    }

    fn service(
        &mut self,
        node: &Node,
        path: &str,
        known: &Known,
        domain_of: &mut HashMap<SocketAddr, FailureDomainName>,
    ) -> Option<ServiceConfig> {
        let mut table = self.table(node, path)?;
        let open = self.open(&mut table);
        let slots = self.integer(&mut table, "slots", &COUNT);
        let connections = self.integer(&mut table, "connections", &COUNT);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            let (at, path) = table.place("connections");
            let problem = format!("{connections} connections cannot fill {slots} slots");
            let accepted = format!("at least the slots, {slots}");
            self.faults.add(at, &path, problem, accepted);
        }
        let weights = self.weights(&mut table, known);
        let endpoints = self.endpoints(&mut table, known, domain_of);
        self.finish(&table);
        Some(ServiceConfig {
            access: if open? { Access::Open } else { Access::Key },
            slots: count(slots?),
            connections: count(connections?),
            weights,
            endpoints,
        })
    }

    fn open(&mut self, table: &mut Table<'_>) -> Option<bool> {
        match table.get("open") {
            None => Some(false),
            Some((node, path)) => match &node.value {
                Value::Bool(open) => Some(*open),
                value => {
                    let problem = format!("is {}", describe(value));
                    self.faults.add(node.at, &path, problem, "true or false");
                    None
                }
            },
        }
    }

    fn weights(&mut self, service: &mut Table<'_>, known: &Known) -> IndexMap<RegionName, u32> {
        let mut weights = IndexMap::new();
        let accepted = "at least one weight above 0";
        let entries = self.entries(service, "weights", accepted);
        for (key, node, path) in &entries {
            let weight = self.integer_of(node, path, &WEIGHT);
            let Some(region) = self.key_name::<RegionName>(key, node.at, path) else {
                continue;
            };
            self.known_region(&region, node.at, path, known);
            if let Some(weight) = weight {
                weights.insert(region, count(weight));
            }
        }
        let all_read = weights.len() == entries.len() && !entries.is_empty();
        if all_read && weights.values().all(|weight| *weight == 0) {
            let (at, path) = service.place("weights");
            self.faults.add(at, &path, "every weight is 0", accepted);
        }
        weights
    }

    fn endpoints(
        &mut self,
        service: &mut Table<'_>,
        known: &Known,
        domain_of: &mut HashMap<SocketAddr, FailureDomainName>,
    ) -> IndexMap<FailureDomainName, Vec<SocketAddr>> {
        let accepted = "an array of addresses such as \"10.0.0.1:9000\"";
        let mut endpoints = IndexMap::new();
        let mut seen = HashMap::new();
        for (key, node, path) in self.entries(service, "endpoints", "at least one endpoint") {
            let domain = self.key_name::<FailureDomainName>(key, node.at, &path);
            if let Some(domain) = &domain
                && self.faults.complete
                && !known.domains.contains_key(domain)
            {
                let problem = format!("failure domain {domain} is in no region");
                let accepted = one_of(known.domains.keys());
                self.faults.add(node.at, &path, problem, accepted);
            }
            let mut addresses = Vec::new();
            for item in self.array(node, &path, accepted, false) {
                let Some(address) = self.endpoint(item, &path) else {
                    continue;
                };
                if let Some(first) = seen.insert(address, item.at) {
                    let first = self.faults.place(first);
                    let problem = format!("endpoint {address} is given twice, first at {first}");
                    let accepted = "every address once in a service";
                    self.faults.add(item.at, &path, problem, accepted);
                    continue;
                }
                let Some(domain) = &domain else { continue };
                let first = domain_of.entry(address).or_insert_with(|| domain.clone());
                if first != domain {
                    let problem = format!("endpoint {address} is in failure domain {first}");
                    let accepted = "one failure domain for an address in all services";
                    self.faults.add(item.at, &path, problem, accepted);
                }
                addresses.push(address);
            }
            if let Some(domain) = domain {
                endpoints.insert(domain, addresses);
            }
        }
        endpoints
    }

    fn endpoint(&mut self, item: &Node, path: &str) -> Option<SocketAddr> {
        let accepted = "an IP address with a port such as \"10.0.0.1:9000\"";
        let text = self.string(item, path, accepted)?;
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 && !address.ip().is_unspecified() => Some(address),
            _ => {
                self.faults
                    .add(item.at, path, format!("is {text:?}"), accepted);
                None
            }
        }
    }

    fn teams(
        &mut self,
        root: &mut Table<'_>,
    ) -> IndexMap<filbertgrade_coord::names::TeamName, TeamConfig> {
        let mut teams = IndexMap::new();
        for (key, node, path) in self.entries(root, "teams", "at least one team") {
            let name = self.key_name(key, node.at, &path);
            let Some(mut table) = self.table(node, &path) else {
                continue;
            };
            let accepted = "a finite number above 0, in requests per second";
            let rate = self.number(&mut table, "rate", accepted, |rate| rate > 0.0);
            let accepted = "a finite number of at least 1, in requests";
            let burst = self.number(&mut table, "burst", accepted, |burst| burst >= 1.0);
            self.finish(&table);
            if let (Some(name), Some(rate), Some(burst)) = (name, rate, burst) {
                teams.insert(name, TeamConfig { rate, burst });
            }
        }
        teams
    }

    fn client_blocks(&mut self, root: &mut Table<'_>, known: &Known) -> Vec<(IpNet, RegionName)> {
        let accepted = "an array of networks such as \"10.1.0.0/16\"";
        let mut blocks = Vec::new();
        let mut seen = HashMap::new();
        let Some((node, path)) = root.get("client_blocks") else {
            return blocks;
        };
        let Some(table) = self.table(node, &path) else {
            return blocks;
        };
        for (key, node) in table.keys {
            let path = join(&path, key);
            let region = self.key_name::<RegionName>(key, node.at, &path);
            if let Some(region) = &region {
                self.known_region(region, node.at, &path, known);
            }
            for item in self.array(node, &path, accepted, true) {
                let Some(block) = self.client_block(item, &path) else {
                    continue;
                };
                if let Some(first) = seen.insert(block, item.at) {
                    let first = self.faults.place(first);
                    let problem = format!("client block {block} is given twice, first at {first}");
                    let accepted = "every block once over all regions";
                    self.faults.add(item.at, &path, problem, accepted);
                } else if let Some(region) = &region {
                    blocks.push((block, region.clone()));
                }
            }
        }
        blocks
    }

    fn client_block(&mut self, item: &Node, path: &str) -> Option<IpNet> {
        let accepted = "a network such as \"10.1.0.0/16\", without host bits";
        let text = self.string(item, path, accepted)?;
        match text.parse::<IpNet>() {
            Ok(block) if block == block.trunc() => Some(block),
            _ => {
                self.faults
                    .add(item.at, path, format!("is {text:?}"), accepted);
                None
            }
        }
    }

    fn known_region(&mut self, name: &RegionName, at: Place, path: &str, known: &Known) {
        if self.faults.complete && !known.regions.contains_key(name) {
            let problem = format!("region {name} does not exist");
            let accepted = one_of(known.regions.keys());
            self.faults.add(at, path, problem, accepted);
        }
    }

    fn latency(&mut self, table: &mut Table<'_>, key: &'static str) -> Option<Duration> {
        let accepted = "a number from 0 to 10000, in milliseconds";
        let value = self.number(table, key, accepted, |ms| {
            (0.0..=MAX_LATENCY_MS).contains(&ms)
        })?;
        Some(Duration::from_secs_f64(value / 1000.0))
    }

    fn integer(
        &mut self,
        table: &mut Table<'_>,
        key: &'static str,
        range: &RangeInclusive<i64>,
    ) -> Option<i64> {
        let (node, path) = self.required(table, key, &integers(range))?;
        self.integer_of(node, &path, range)
    }

    fn integer_of(&mut self, node: &Node, path: &str, range: &RangeInclusive<i64>) -> Option<i64> {
        match &node.value {
            Value::Int(value) if range.contains(value) => Some(*value),
            value => {
                let problem = format!("is {}", describe(value));
                self.faults.add(node.at, path, problem, integers(range));
                None
            }
        }
    }

    fn number(
        &mut self,
        table: &mut Table<'_>,
        key: &'static str,
        accepted: &str,
        holds: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        let (node, path) = self.required(table, key, accepted)?;
        let number = match &node.value {
            Value::Float(value) => Some(*value),
            Value::Int(value) => Some(*value as f64),
            _ => None,
        };
        let number = number.filter(|value| value.is_finite() && holds(*value));
        if number.is_none() {
            let problem = format!("is {}", describe(&node.value));
            self.faults.add(node.at, &path, problem, accepted);
        }
        number
    }

    fn string<'a>(&mut self, node: &'a Node, path: &str, accepted: &str) -> Option<&'a str> {
        match &node.value {
            Value::Str(text) => Some(text),
            value => {
                let problem = format!("is {}", describe(value));
                self.faults.add(node.at, path, problem, accepted);
                None
            }
        }
    }

    fn name<T>(&mut self, node: &Node, path: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        let text = self.string(node, path, NAME)?;
        self.key_name(text, node.at, path)
    }

    fn key_name<T>(&mut self, text: &str, at: Place, path: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        match T::try_from(text) {
            Ok(name) => Some(name),
            Err(error) => {
                self.faults
                    .add(at, path, format!("name {text:?}: {error}"), NAME);
                None
            }
        }
    }

    fn array<'a>(
        &mut self,
        node: &'a Node,
        path: &str,
        accepted: &str,
        may_be_empty: bool,
    ) -> &'a [Node] {
        match &node.value {
            Value::Array(items) if may_be_empty || !items.is_empty() => items,
            value => {
                let problem = format!("is {}", describe(value));
                self.faults.add(node.at, path, problem, accepted);
                &[]
            }
        }
    }

    /// The entries of a table whose keys are names.
    fn entries<'a>(
        &mut self,
        parent: &mut Table<'a>,
        key: &'static str,
        accepted: &str,
    ) -> Vec<(&'a str, &'a Node, String)> {
        let Some((node, path)) = self.required(parent, key, accepted) else {
            return Vec::new();
        };
        let Some(table) = self.table(node, &path) else {
            return Vec::new();
        };
        if table.keys.is_empty() {
            self.faults.add(node.at, &path, "is empty", accepted);
        }
        let entries = table.keys.iter();
        entries
            .map(|(key, node)| (key.as_str(), node, join(&path, key)))
            .collect()
    }

    fn section<'a>(&mut self, parent: &mut Table<'a>, key: &'static str) -> Section<'a> {
        let (node, path) = self.required(parent, key, "a table")?;
        self.table(node, &path)
    }

    fn table<'a>(&mut self, node: &'a Node, path: &str) -> Section<'a> {
        match &node.value {
            Value::Table(keys) => Some(Table {
                at: node.at,
                path: path.to_owned(),
                keys,
                asked: Vec::new(),
            }),
            value => {
                let problem = format!("is {}", describe(value));
                self.faults.add(node.at, path, problem, "a table");
                None
            }
        }
    }

    fn required<'a>(
        &mut self,
        table: &mut Table<'a>,
        key: &'static str,
        accepted: &str,
    ) -> Option<(&'a Node, String)> {
        let found = table.get(key);
        if found.is_none() && self.faults.complete {
            let path = join(&table.path, key);
            self.faults.add(table.at, &path, "is missing", accepted);
        }
        found
    }

    /// Reports the keys of the table that nothing asked for.
    fn finish(&mut self, table: &Table<'_>) {
        for (key, node) in table.keys {
            if !table.asked.contains(&key.as_str()) {
                let path = join(&table.path, key);
                let accepted = one_of(&table.asked);
                self.faults.add(node.at, &path, "unknown key", accepted);
            }
        }
    }
}

impl<'a> Table<'a> {
    fn get(&mut self, key: &'static str) -> Option<(&'a Node, String)> {
        self.asked.push(key);
        let node = self.keys.get(key)?;
        Some((node, join(&self.path, key)))
    }

    fn place(&self, key: &str) -> (Place, String) {
        let at = self.keys.get(key).map_or(self.at, |node| node.at);
        (at, join(&self.path, key))
    }
}

fn integers(range: &RangeInclusive<i64>) -> String {
    format!("an integer from {} to {}", range.start(), range.end())
}

fn one_of<T: Display>(names: impl IntoIterator<Item = T>) -> String {
    let mut names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    names.sort();
    names.join(", ")
}

fn describe(value: &Value) -> String {
    match value {
        Value::Table(_) => "a table".to_owned(),
        Value::Array(items) if items.is_empty() => "an empty array".to_owned(),
        Value::Array(_) => "an array".to_owned(),
        Value::Str(text) => format!("the string {text:?}"),
        Value::Int(value) => value.to_string(),
        Value::Float(value) => format!("{value:?}"),
        Value::Bool(value) => value.to_string(),
        Value::Other(text) => text.clone(),
    }
}

/// Ranges of counts end far below the limit of `u32`.
fn count(value: i64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
