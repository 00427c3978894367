//! Converts the merged tables of configuration files to a validated
//! configuration.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use filbertgrade_coord::names::{FailureDomainName, NameError, RegionName};
use filbertgrade_coord::weights::PROPAGATION_TIME;
use indexmap::IndexMap;
use ipnet::IpNet;

use super::tree::{Faults, Location, Node, Value, join};
use super::{Access, Config, ConfigError, Network, RegionConfig, ServiceConfig, TeamConfig};

/// Accepted form of names, as reported with faults.
const ACCEPTED_NAME: &str = "1 to 63 characters of a-z, 0-9 and '-'";

/// Accepted time to live of lookup responses. Callers repeat their lookup after
/// this time, so a shorter one multiplies lookups, and a longer one delays
/// drains and shifts of traffic.
const ACCEPTED_TTL_MS: RangeInclusive<i64> = 100..=600_000;

/// Accepted settle time after a step of the region weights. The lower end is not
/// zero, because a step needs some time to reach every VM.
const ACCEPTED_SETTLE_MS: RangeInclusive<i64> = 100..=600_000;

/// Accepted number of slots or connections. The upper end is far above what any
/// backend server has, and low enough that sums over a fleet stay exact.
const ACCEPTED_COUNT: RangeInclusive<i64> = 1..=1_000_000;

/// Accepted region weight or share of arrivals. The upper end keeps sums over a
/// fleet exact.
const ACCEPTED_WEIGHT: RangeInclusive<i64> = 0..=1_000_000;

/// Accepted bandwidth between two regions.
const ACCEPTED_BANDWIDTH_MBIT: RangeInclusive<i64> = 1..=1_000_000_000;

/// Longest accepted latency. A longer one is most likely given in a wrong unit.
const MAX_LATENCY_MS: f64 = 10_000.0;

/// Regions and failure domains that other tables refer to by name.
struct KnownNames {
    regions: IndexMap<RegionName, RegionConfig>,
    /// Region that each failure domain belongs to.
    domains: HashMap<FailureDomainName, RegionName>,
}

/// A reader of one table that records which keys were looked up, so that all
/// others can be reported as unknown.
struct Table<'a> {
    /// Location of the table's first mention.
    location: Location,
    /// Dotted path of the table; empty for the root.
    path: String,
    keys: &'a IndexMap<String, Node>,
    /// Keys that were looked up, whether present or not.
    requested: Vec<&'static str>,
}

/// A table, or `None` if it is missing or not a table, which is reported as a
/// fault.
type Section<'a> = Option<Table<'a>>;

/// Converts the merged tables to a configuration.
///
/// # Errors
///
/// Fails if there are faults; the error lists those of the TOML parser, passed
/// in `faults`, and those found here.
pub(super) fn read(root: &Node, faults: Faults) -> Result<Config, ConfigError> {
    let mut reader = Reader { faults };
    let config = reader.config(root);
    let found = reader.faults.into_found();
    match config {
        Some(config) if found.is_empty() => Ok(config),
        _ => Err(ConfigError::new(found)),
    }
}

/// Reads the sections of a configuration and collects their faults. A method that
/// returns `None` has reported why, or the file has a syntax error.
struct Reader {
    faults: Faults,
}

impl Reader {
    fn config(&mut self, root: &Node) -> Option<Config> {
        let mut root = self.table(root, "")?;
        let deployment = self.required(&mut root, "deployment", ACCEPTED_NAME);
        let deployment = deployment.and_then(|(node, path)| self.name::<RegionName>(node, &path));
        let lookup_ttl = self.lookup(&mut root);
        let shift = self.shift(&mut root);
        let known = self.regions(&mut root);
        let network = self.network(&mut root, &known);
        let services = self.services(&mut root, &known);
        let teams = self.teams(&mut root);
        let client_blocks = self.client_blocks(&mut root, &known);
        self.report_unknown_keys(&root);
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
        let ttl = self.integer(&mut table, "ttl_ms", &ACCEPTED_TTL_MS);
        self.report_unknown_keys(&table);
        Some(Duration::from_millis(ttl?.unsigned_abs()))
    }

    fn shift(&mut self, root: &mut Table<'_>) -> Option<(f64, Duration)> {
        let mut table = self.section(root, "shift")?;
        let accepted = "a number above 0 and at most 1";
        let cap = self.number(&mut table, "cap", accepted, |cap| cap > 0.0 && cap <= 1.0);
        let settle = match table.get("settle_ms") {
            None => Some(PROPAGATION_TIME),
            Some((node, path)) => self
                .check_integer(node, &path, &ACCEPTED_SETTLE_MS)
                .map(|ms| Duration::from_millis(ms.unsigned_abs())),
        };
        self.report_unknown_keys(&table);
        Some((cap?, settle?))
    }

    fn network(&mut self, root: &mut Table<'_>, known: &KnownNames) -> Option<Network> {
        let mut table = self.section(root, "network")?;
        let store_region = self
            .required(&mut table, "store_region", "the name of a region")
            .and_then(|(node, path)| {
                let name = self.name::<RegionName>(node, &path)?;
                self.check_region_exists(&name, node.location, &path, known);
                Some(name)
            });
        let domain_latency = self.latency(&mut table, "domain_latency_ms");
        let region_latency = self.latency(&mut table, "region_latency_ms");
        let client_latency = self.latency(&mut table, "client_latency_ms");
        let connect_cost = self.latency(&mut table, "connect_ms");
        let bandwidth = self.integer(
            &mut table,
            "region_bandwidth_mbit",
            &ACCEPTED_BANDWIDTH_MBIT,
        );
        self.report_unknown_keys(&table);
        Some(Network {
            store_region: store_region?,
            domain_latency: domain_latency?,
            region_latency: region_latency?,
            client_latency: client_latency?,
            connect_cost: connect_cost?,
            region_bandwidth_mbit: bandwidth?.unsigned_abs(),
        })
    }

    fn regions(&mut self, root: &mut Table<'_>) -> KnownNames {
        let mut known = KnownNames {
            regions: IndexMap::new(),
            domains: HashMap::new(),
        };
        for (key, node, path) in self.entries(root, "regions", "at least one region") {
            let name = self.parse_name::<RegionName>(key, node.location, &path);
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
        known: &mut KnownNames,
    ) -> RegionConfig {
        let mut region = RegionConfig {
            failure_domains: Vec::new(),
            arrivals: 1,
        };
        if let Some(mut table) = self.table(node, path) {
            region.failure_domains = self.failure_domains(&mut table, name, known);
            if let Some((node, path)) = table.get("arrivals")
                && let Some(arrivals) = self.check_integer(node, &path, &ACCEPTED_WEIGHT)
            {
                region.arrivals = to_count(arrivals);
            }
            self.report_unknown_keys(&table);
        }
        region
    }

    fn failure_domains(
        &mut self,
        table: &mut Table<'_>,
        region: Option<&RegionName>,
        known: &mut KnownNames,
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
                    self.faults.add(item.location, &path, problem, accepted);
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
        known: &KnownNames,
    ) -> IndexMap<super::ServiceName, ServiceConfig> {
        let mut services = IndexMap::new();
        // An address identifies one backend server, so it must be in the same
        // failure domain in every service that it is an endpoint of.
        let mut domain_of = HashMap::new();
        for (key, node, path) in self.entries(root, "services", "at least one service") {
            let name = self.parse_name::<super::ServiceName>(key, node.location, &path);
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
        known: &KnownNames,
        domain_of: &mut HashMap<SocketAddr, FailureDomainName>,
    ) -> Option<ServiceConfig> {
        let mut table = self.table(node, path)?;
        let open = self.open(&mut table);
        let slots = self.integer(&mut table, "slots", &ACCEPTED_COUNT);
        let connections = self.integer(&mut table, "connections", &ACCEPTED_COUNT);
        if let (Some(slots), Some(connections)) = (slots, connections)
            && connections < slots
        {
            let (location, path) = table.locate("connections");
            let problem = format!("{connections} connections cannot fill {slots} slots");
            let accepted = format!("at least the slots, {slots}");
            self.faults.add(location, &path, problem, accepted);
        }
        let weights = self.weights(&mut table, known);
        let endpoints = self.endpoints(&mut table, known, domain_of);
        self.report_unknown_keys(&table);
        Some(ServiceConfig {
            access: if open? { Access::Open } else { Access::Key },
            slots: to_count(slots?),
            connections: to_count(connections?),
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
                    self.faults
                        .add(node.location, &path, problem, "true or false");
                    None
                }
            },
        }
    }

    fn weights(
        &mut self,
        service: &mut Table<'_>,
        known: &KnownNames,
    ) -> IndexMap<RegionName, u32> {
        let mut weights = IndexMap::new();
        let accepted = "at least one weight above 0";
        let entries = self.entries(service, "weights", accepted);
        for (key, node, path) in &entries {
            let weight = self.check_integer(node, path, &ACCEPTED_WEIGHT);
            let Some(region) = self.parse_name::<RegionName>(key, node.location, path) else {
                continue;
            };
            self.check_region_exists(&region, node.location, path, known);
            if let Some(weight) = weight {
                weights.insert(region, to_count(weight));
            }
        }
        let all_read = weights.len() == entries.len() && !entries.is_empty();
        if all_read && weights.values().all(|weight| *weight == 0) {
            let (location, path) = service.locate("weights");
            self.faults
                .add(location, &path, "every weight is 0", accepted);
        }
        weights
    }

    fn endpoints(
        &mut self,
        service: &mut Table<'_>,
        known: &KnownNames,
        domain_of: &mut HashMap<SocketAddr, FailureDomainName>,
    ) -> IndexMap<FailureDomainName, Vec<SocketAddr>> {
        let accepted = "an array of addresses such as \"10.0.0.1:9000\"";
        let mut endpoints = IndexMap::new();
        let mut seen = HashMap::new();
        for (key, node, path) in self.entries(service, "endpoints", "at least one endpoint") {
            let domain = self.parse_name::<FailureDomainName>(key, node.location, &path);
            if let Some(domain) = &domain
                && self.faults.all_parsed
                && !known.domains.contains_key(domain)
            {
                let problem = format!("failure domain {domain} is in no region");
                let accepted = one_of(known.domains.keys());
                self.faults.add(node.location, &path, problem, accepted);
            }
            let mut addresses = Vec::new();
            for item in self.array(node, &path, accepted, false) {
                let Some(address) = self.endpoint(item, &path) else {
                    continue;
                };
                if let Some(first) = seen.insert(address, item.location) {
                    let first = self.faults.format_location(first);
                    let problem = format!("endpoint {address} is given twice, first at {first}");
                    let accepted = "every address once in a service";
                    self.faults.add(item.location, &path, problem, accepted);
                    continue;
                }
                let Some(domain) = &domain else { continue };
                let first = domain_of.entry(address).or_insert_with(|| domain.clone());
                if first != domain {
                    let problem = format!("endpoint {address} is in failure domain {first}");
                    let accepted = "one failure domain for an address in all services";
                    self.faults.add(item.location, &path, problem, accepted);
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
                    .add(item.location, path, format!("is {text:?}"), accepted);
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
            let name = self.parse_name(key, node.location, &path);
            let Some(mut table) = self.table(node, &path) else {
                continue;
            };
            let accepted = "a finite number above 0, in requests per second";
            let rate = self.number(&mut table, "rate", accepted, |rate| rate > 0.0);
            let accepted = "a finite number of at least 1, in requests";
            let burst = self.number(&mut table, "burst", accepted, |burst| burst >= 1.0);
            self.report_unknown_keys(&table);
            if let (Some(name), Some(rate), Some(burst)) = (name, rate, burst) {
                teams.insert(name, TeamConfig { rate, burst });
            }
        }
        teams
    }

    fn client_blocks(
        &mut self,
        root: &mut Table<'_>,
        known: &KnownNames,
    ) -> Vec<(IpNet, RegionName)> {
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
            let region = self.parse_name::<RegionName>(key, node.location, &path);
            if let Some(region) = &region {
                self.check_region_exists(region, node.location, &path, known);
            }
            for item in self.array(node, &path, accepted, true) {
                let Some(block) = self.client_block(item, &path) else {
                    continue;
                };
                if let Some(first) = seen.insert(block, item.location) {
                    let first = self.faults.format_location(first);
                    let problem = format!("client block {block} is given twice, first at {first}");
                    let accepted = "every block once over all regions";
                    self.faults.add(item.location, &path, problem, accepted);
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
                    .add(item.location, path, format!("is {text:?}"), accepted);
                None
            }
        }
    }

    /// Reports a region name that the configuration does not define.
    fn check_region_exists(
        &mut self,
        name: &RegionName,
        location: Location,
        path: &str,
        known: &KnownNames,
    ) {
        if self.faults.all_parsed && !known.regions.contains_key(name) {
            let problem = format!("region {name} does not exist");
            let accepted = one_of(known.regions.keys());
            self.faults.add(location, path, problem, accepted);
        }
    }

    /// Reads a required latency, given in milliseconds.
    fn latency(&mut self, table: &mut Table<'_>, key: &'static str) -> Option<Duration> {
        let accepted = "a number from 0 to 10000, in milliseconds";
        let value = self.number(table, key, accepted, |ms| {
            (0.0..=MAX_LATENCY_MS).contains(&ms)
        })?;
        Some(Duration::from_secs_f64(value / 1000.0))
    }

    /// Reads a required integer in `range`.
    fn integer(
        &mut self,
        table: &mut Table<'_>,
        key: &'static str,
        range: &RangeInclusive<i64>,
    ) -> Option<i64> {
        let (node, path) = self.required(table, key, &integers(range))?;
        self.check_integer(node, &path, range)
    }

    fn check_integer(
        &mut self,
        node: &Node,
        path: &str,
        range: &RangeInclusive<i64>,
    ) -> Option<i64> {
        match &node.value {
            Value::Int(value) if range.contains(value) => Some(*value),
            value => {
                let problem = format!("is {}", describe(value));
                self.faults
                    .add(node.location, path, problem, integers(range));
                None
            }
        }
    }

    /// Reads a required finite number, given as an integer or a float.
    fn number(
        &mut self,
        table: &mut Table<'_>,
        key: &'static str,
        accepted: &str,
        is_accepted: impl Fn(f64) -> bool,
    ) -> Option<f64> {
        let (node, path) = self.required(table, key, accepted)?;
        let number = match &node.value {
            Value::Float(value) => Some(*value),
            Value::Int(value) => Some(*value as f64),
            _ => None,
        };
        let number = number.filter(|value| value.is_finite() && is_accepted(*value));
        if number.is_none() {
            let problem = format!("is {}", describe(&node.value));
            self.faults.add(node.location, &path, problem, accepted);
        }
        number
    }

    fn string<'a>(&mut self, node: &'a Node, path: &str, accepted: &str) -> Option<&'a str> {
        match &node.value {
            Value::Str(text) => Some(text),
            value => {
                let problem = format!("is {}", describe(value));
                self.faults.add(node.location, path, problem, accepted);
                None
            }
        }
    }

    /// Reads a string that must be a valid name.
    fn name<T>(&mut self, node: &Node, path: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        let text = self.string(node, path, ACCEPTED_NAME)?;
        self.parse_name(text, node.location, path)
    }

    fn parse_name<T>(&mut self, text: &str, location: Location, path: &str) -> Option<T>
    where
        T: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        match T::try_from(text) {
            Ok(name) => Some(name),
            Err(error) => {
                self.faults.add(
                    location,
                    path,
                    format!("name {text:?}: {error}"),
                    ACCEPTED_NAME,
                );
                None
            }
        }
    }

    /// Returns the items of an array, or none if the value is not accepted.
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
                self.faults.add(node.location, path, problem, accepted);
                &[]
            }
        }
    }

    /// Returns the entries of a required table whose keys are names, with their
    /// paths. An empty table is a fault.
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
            self.faults.add(node.location, &path, "is empty", accepted);
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
                location: node.location,
                path: path.to_owned(),
                keys,
                requested: Vec::new(),
            }),
            value => {
                let problem = format!("is {}", describe(value));
                self.faults.add(node.location, path, problem, "a table");
                None
            }
        }
    }

    /// Looks up a key, and reports it if it is missing.
    fn required<'a>(
        &mut self,
        table: &mut Table<'a>,
        key: &'static str,
        accepted: &str,
    ) -> Option<(&'a Node, String)> {
        let found = table.get(key);
        if found.is_none() && self.faults.all_parsed {
            let path = join(&table.path, key);
            self.faults
                .add(table.location, &path, "is missing", accepted);
        }
        found
    }

    /// Reports the keys of the table that were not looked up.
    fn report_unknown_keys(&mut self, table: &Table<'_>) {
        for (key, node) in table.keys {
            if !table.requested.contains(&key.as_str()) {
                let path = join(&table.path, key);
                let accepted = one_of(&table.requested);
                self.faults
                    .add(node.location, &path, "unknown key", accepted);
            }
        }
    }
}

impl<'a> Table<'a> {
    /// Looks up a key, and returns its value and path if it is present.
    fn get(&mut self, key: &'static str) -> Option<(&'a Node, String)> {
        self.requested.push(key);
        let node = self.keys.get(key)?;
        Some((node, join(&self.path, key)))
    }

    /// Returns the location of a key, or of the table if the key is absent, and
    /// the key's path.
    fn locate(&self, key: &str) -> (Location, String) {
        let location = self
            .keys
            .get(key)
            .map_or(self.location, |node| node.location);
        (location, join(&self.path, key))
    }
}

fn integers(range: &RangeInclusive<i64>) -> String {
    format!("an integer from {} to {}", range.start(), range.end())
}

/// Lists the accepted names in sorted order.
fn one_of<T: Display>(names: impl IntoIterator<Item = T>) -> String {
    let mut names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    names.sort();
    names.join(", ")
}

/// Describes a value that is not accepted.
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

/// Converts a range-checked count. The accepted ranges end far below the limit of
/// `u32`.
fn to_count(value: i64) -> u32 {
    u32::try_from(value).unwrap_or(u32::MAX)
}
