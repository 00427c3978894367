//! Tests that shifts of traffic between regions stay within the cap, as counted
//! at backend servers while callers that cache lookup responses send load through
//! real processes.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use filbertgrade_standins::backend::BackendServer;
use filbertgrade_standins::caller::{Load, LoadConfig, LoadReport, RequestKind, Route, TeamLoad};

use crate::fleet::Fleet;

/// Shift cap, as a fraction of the service's traffic.
const CAP: f64 = 0.15;

/// Time to live of lookup responses.
const TTL: Duration = Duration::from_millis(500);

/// Settle time after a step.
const SETTLE: Duration = Duration::from_millis(1000);

/// Time between two steps: time to live plus settle time.
const PERIOD: Duration = Duration::from_millis(1500);

/// Load in requests per second.
const RATE: f64 = 150.0;

/// Tolerance for sampling noise, added to the cap. The shares of two windows of
/// 225 requests differ with a standard deviation of 4.7%, so this is two and a
/// half standard deviations. A shift that ignores the cap exceeds the sum by at
/// least 15%.
const TOLERANCE: f64 = 0.12;

/// Lets only one fleet be under load at a time, because refusals caused by an
/// overloaded machine would distort the shares.
static LOAD_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// The open service that the load uses.
const SERVICE: &str = "size-list";

/// A fleet under load.
struct LoadedFleet {
    fleet: Fleet,
    /// Start of the first period.
    started_at: Instant,
    load: tokio::task::JoinHandle<LoadReport>,
    _load_guard: tokio::sync::MutexGuard<'static, ()>,
}

/// Requests that the backend servers received during a load, and the callers'
/// report.
struct ShiftResult {
    /// Number of requests that the backend server of each region, north and south,
    /// received in each period.
    windows: Vec<[f64; 2]>,
    report: LoadReport,
}

impl LoadedFleet {
    /// Starts two VMs in each region with equal weights, and sends requests
    /// to the open service for `duration`.
    async fn start(duration: Duration) -> Self {
        let load_guard = LOAD_LOCK.lock().await;
        let fleet = Fleet::start(4).await;
        apply(&fleet, [1, 1]).await;
        let ready = |vm| async move {
            let req = http::Request::get("/size-list/all?bytes=10")
                .header("host", SERVICE)
                .body(http_body_util::Full::default())
                .unwrap();
            let response = crate::fleet::send(vm, req).await;
            response.is_ok_and(|response| response.status() == 200)
        };
        fleet.wait_until(Duration::from_secs(10), ready).await;
        let started_at = Instant::now();
        while fleet.platform.get("steering/weights").is_none() {
            assert!(started_at.elapsed() < Duration::from_secs(5), "no weights");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let vms = fleet
            .vms
            .iter()
            .map(crate::fleet::Vm::caller_address)
            .collect();
        let mut team = TeamLoad::new("open", RATE, vec![RequestKind::chart(SERVICE)]);
        let clients = (0..120_u8).map(|n| IpAddr::V4(Ipv4Addr::new(10, 1 + n % 2, 0, n)));
        team.clients = clients.collect();
        let mut cfg = LoadConfig::new(Route::Lookup(vms), vec![team]);
        cfg.duration = duration;
        let load = tokio::spawn(Load::new(cfg).run());
        // Callers fill their lookup caches and open connections before the test
        // changes anything.
        tokio::time::sleep(2 * PERIOD).await;
        Self {
            fleet,
            started_at,
            load,
            _load_guard: load_guard,
        }
    }

    /// Returns the lookup weight of the south that the allocator published last,
    /// as a fraction.
    fn south_lookup_weight(&self) -> f64 {
        let (_, table) = self.fleet.platform.get("steering/weights").unwrap();
        let table: serde_json::Value = serde_json::from_slice(&table).unwrap();
        table["lookups"]["south"].as_f64().unwrap() / 10_000.0
    }

    /// Waits until the published lookup weight of the south is at most `weight`.
    async fn wait_for_south_below(&self, weight: f64, within: Duration) {
        let start = Instant::now();
        while self.south_lookup_weight() > weight {
            assert!(
                start.elapsed() < within,
                "lookup weight of south is {}",
                self.south_lookup_weight()
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits for the end of the load, and counts requests per region and period.
    async fn finish(self) -> ShiftResult {
        let report = self.load.await.unwrap();
        let periods = (self.started_at.elapsed().as_secs_f64() / PERIOD.as_secs_f64()) as usize;
        let mut windows = vec![[0.0; 2]; periods + 1];
        for (region, backend) in self.fleet.backends.iter().enumerate() {
            for run in BackendServer::records(backend).runs {
                let at = run.arrived.saturating_duration_since(self.started_at);
                let window = (at.as_secs_f64() / PERIOD.as_secs_f64()) as usize;
                if run.arrived > self.started_at && window < windows.len() {
                    windows[window][region] += 1.0;
                }
            }
        }
        // The first window contains the start of the load, and the last two are
        // incomplete.
        let complete = windows.len().saturating_sub(2);
        let windows = windows[1..complete].to_vec();
        println!("requests by region in each period: {windows:?}");
        println!("refused: {:?}", report.teams["open"].refused);
        ShiftResult { windows, report }
    }
}

impl ShiftResult {
    /// Returns the share of the served requests that a region received in each
    /// period.
    fn shares(&self, region: usize) -> Vec<f64> {
        let share = |window: &[f64; 2]| window[region] / (window[0] + window[1]).max(1.0);
        self.windows.iter().map(share).collect()
    }

    /// Returns the requests that a region received in each period, as a share of
    /// the offered requests.
    fn shares_of_offered(&self, region: usize) -> Vec<f64> {
        let offered = RATE * PERIOD.as_secs_f64();
        self.windows.iter().map(|w| w[region] / offered).collect()
    }

    /// Asserts that no region gains more than the cap from one period to the next.
    fn assert_capped(&self) {
        for region in 0..2 {
            assert_gains_capped(&self.shares(region));
        }
        assert_eq!(self.report.truncated + self.report.wrong_response, 0);
    }
}

/// Asserts that no share grows by more than the cap from one period to the next.
fn assert_gains_capped(shares: &[f64]) {
    for pair in shares.windows(2) {
        assert!(pair[1] - pair[0] <= CAP + TOLERANCE, "{shares:.2?}");
    }
}

/// Applies the fleet's configuration with these settings and the weights of north
/// and south.
async fn apply(fleet: &Fleet, weights: [u32; 2]) {
    let text = fleet
        .config()
        .replace("ttl_ms = 1000", &format!("ttl_ms = {}", TTL.as_millis()))
        .replace(
            "cap = 0.5",
            &format!("cap = {CAP}\nsettle_ms = {}", SETTLE.as_millis()),
        )
        .replace(
            "north = 1\nsouth = 1",
            &format!("north = {}\nsouth = {}", weights[0], weights[1]),
        );
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    let path = file.path().to_str().unwrap();
    let output = fleet.command(&["apply", path]).await;
    assert!(output.starts_with("accepted as version"), "{output}");
}

/// Guards against configured weights that take effect in a single step.
#[tokio::test(flavor = "multi_thread")]
async fn weight_change_shifts_traffic_within_the_cap() {
    let loaded = LoadedFleet::start(Duration::from_secs(14)).await;
    apply(&loaded.fleet, [9, 1]).await;
    let result = loaded.finish().await;
    result.assert_capped();
    let last = result.shares(1).last().copied().unwrap();
    assert!((last - 0.1).abs() < TOLERANCE, "{:.2?}", result.shares(1));
}

/// Guards against a drain that shifts all traffic of a region at once, and one
/// that leaves some traffic there.
#[tokio::test(flavor = "multi_thread")]
async fn region_drain_shifts_traffic_within_the_cap_to_zero() {
    let loaded = LoadedFleet::start(Duration::from_secs(15)).await;
    let drain = ["drain", "region", "south"];
    loaded.fleet.command(&drain).await;
    let result = loaded.finish().await;
    result.assert_capped();
    let last = result.windows.last().copied().unwrap();
    assert!(last[1] == 0.0, "{:?}", result.windows);
}

/// Time within which another agent must acquire the lease and finish the shift. A
/// candidate that reads the lease just before its last renewal waits for two
/// lease durations of 10 s.
const MAX_TAKEOVER: Duration = Duration::from_secs(22);

/// Guards against a new allocator that takes a step before the last step of its
/// predecessor is in force, and against a shift that is never finished.
#[tokio::test(flavor = "multi_thread")]
async fn shift_continues_within_the_cap_after_the_allocator_is_killed() {
    let mut loaded = LoadedFleet::start(Duration::from_secs(26)).await;
    apply(&loaded.fleet, [9, 1]).await;
    loaded
        .wait_for_south_below(0.36, Duration::from_secs(5))
        .await;
    let (_, lease) = loaded.fleet.platform.get("leases/allocator").unwrap();
    let lease: serde_json::Value = serde_json::from_slice(&lease).unwrap();
    let holder = lease["holder"].as_str().unwrap().to_owned();
    let vms = &mut loaded.fleet.vms;
    let holder = vms.iter_mut().find(|vm| vm.name == holder).unwrap();
    holder.agent.kill().unwrap();
    loaded.wait_for_south_below(0.101, MAX_TAKEOVER).await;
    loaded.finish().await.assert_capped();
}

/// Guards against steps that take effect while the store is down, and against
/// missed steps that are all taken at once when it is back.
#[tokio::test(flavor = "multi_thread")]
async fn shift_pauses_while_the_store_is_down_and_continues_within_the_cap() {
    let loaded = LoadedFleet::start(Duration::from_secs(17)).await;
    apply(&loaded.fleet, [9, 1]).await;
    loaded
        .wait_for_south_below(0.36, Duration::from_secs(5))
        .await;
    loaded.fleet.platform.set_down(true);
    let before = loaded.south_lookup_weight();
    tokio::time::sleep(3 * PERIOD).await;
    assert!((loaded.south_lookup_weight() - before).abs() < 1e-9);
    loaded.fleet.platform.set_down(false);
    loaded
        .wait_for_south_below(0.101, Duration::from_secs(8))
        .await;
    let result = loaded.finish().await;
    result.assert_capped();
    assert_eq!(result.report.lost, 0);
}

/// Guards against a failed region whose traffic moves beyond the cap, and against
/// refusals that do not say that the request did not run.
#[tokio::test(flavor = "multi_thread")]
async fn spill_stays_within_the_cap_when_all_backend_servers_of_a_region_fail() {
    let loaded = LoadedFleet::start(Duration::from_secs(10)).await;
    loaded.fleet.proxies[1].set_refuse(true);
    loaded.fleet.proxies[1].reset_open();
    let result = loaded.finish().await;
    let north = result.shares_of_offered(0);
    assert_gains_capped(&north);
    assert_eq!(result.report.truncated + result.report.wrong_response, 0);
    assert!(
        north.last() > north.first(),
        "no request spilled to north: {north:.2?}"
    );
    assert_eq!(result.report.lost, 0);
}

/// Guards against requests that all run in the region that callers are directed to
/// after their own region has lost its VMs, beyond the weight of that region.
#[tokio::test(flavor = "multi_thread")]
async fn requests_follow_the_weights_when_all_vms_of_a_region_fail() {
    let mut loaded = LoadedFleet::start(Duration::from_secs(10)).await;
    // Dropping a VM kills its processes. Its entry is removed from the list just
    // before, as if the platform detected the failure at once.
    let vms = std::mem::take(&mut loaded.fleet.vms);
    let (south, north): (Vec<_>, Vec<_>) = vms
        .into_iter()
        .partition(|vm| vm.platform_record.region == "south");
    loaded.fleet.vms = north;
    for vm in south {
        loaded.fleet.platform.delete_vm(&vm.name);
        drop(vm);
    }
    let result = loaded.finish().await;
    result.assert_capped();
    let last = result.shares(1).last().copied().unwrap();
    assert!(last > 0.5 - TOLERANCE - CAP, "{:.2?}", result.shares(1));
}
