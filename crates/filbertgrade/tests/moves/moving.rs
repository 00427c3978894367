//! Moves of traffic between regions, counted at the backend servers of real
//! processes whose callers cache look-ups.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use filbertgrade_standins::backend::BackendServer;
use filbertgrade_standins::caller::{Load, LoadConfig, LoadReport, RequestKind, Route, TeamLoad};

use crate::fleet::Fleet;

/// The shift cap, as a fraction of the service's traffic.
const CAP: f64 = 0.15;

/// Look-up time to live and settle time: the time between two steps.
const TTL: Duration = Duration::from_millis(500);
const SETTLE: Duration = Duration::from_millis(1000);
const PERIOD: Duration = Duration::from_millis(1500);

/// Requests per second.
const RATE: f64 = 150.0;

/// Added to the cap for sampling. Shares of two windows of 225 requests differ
/// with a standard deviation of 4.7%, so this is two and a half of them. A move
/// that ignores the cap is at least 15% above the sum.
const TOLERANCE: f64 = 0.12;

/// Only one fleet is under load at a time, because refusals of an overloaded
/// machine would distort the shares.
static ONE_LOAD: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// The service that the load uses.
const SERVICE: &str = "size-list";

/// A fleet that is under load.
struct Loaded {
    fleet: Fleet,
    began: Instant,
    load: tokio::task::JoinHandle<LoadReport>,
    _only: tokio::sync::MutexGuard<'static, ()>,
}

/// What the backend servers got.
struct Moved {
    /// Requests that each region's backend server got in each period.
    windows: Vec<[f64; 2]>,
    report: LoadReport,
}

impl Loaded {
    /// Starts two VMs in each region with equal weights, and sends requests
    /// to the open service for `duration`.
    async fn start(duration: Duration) -> Self {
        let only = ONE_LOAD.lock().await;
        let fleet = Fleet::start(4).await;
        apply(&fleet, [1, 1]).await;
        let ready = |vm| async move {
            let req = http::Request::get("/size-list/all?bytes=10")
                .header("host", SERVICE)
                .body(http_body_util::Full::default())
                .unwrap();
            let answer = crate::fleet::send(vm, req).await;
            answer.is_ok_and(|answer| answer.status() == 200)
        };
        fleet.wait_until(Duration::from_secs(10), ready).await;
        let began = Instant::now();
        while fleet.platform.get("steering/weights").is_none() {
            assert!(began.elapsed() < Duration::from_secs(5), "no weights");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let vms = fleet.vms.iter().map(crate::fleet::Vm::callers).collect();
        let mut team = TeamLoad::new("open", RATE, vec![RequestKind::chart(SERVICE)]);
        let clients = (0..120_u8).map(|n| IpAddr::V4(Ipv4Addr::new(10, 1 + n % 2, 0, n)));
        team.clients = clients.collect();
        let mut cfg = LoadConfig::new(Route::Lookup(vms), vec![team]);
        cfg.duration = duration;
        let load = tokio::spawn(Load::new(cfg).run());
        // Callers and connections are warm before anything happens.
        tokio::time::sleep(2 * PERIOD).await;
        Self {
            fleet,
            began,
            load,
            _only: only,
        }
    }

    /// The south's weight of look-ups that the allocator published last.
    fn south(&self) -> f64 {
        let (_, table) = self.fleet.platform.get("steering/weights").unwrap();
        let table: serde_json::Value = serde_json::from_slice(&table).unwrap();
        table["lookups"]["south"].as_f64().unwrap() / 10_000.0
    }

    async fn wait_for_south_below(&self, weight: f64, within: Duration) {
        let start = Instant::now();
        while self.south() > weight {
            assert!(start.elapsed() < within, "south is at {}", self.south());
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn finish(self) -> Moved {
        let report = self.load.await.unwrap();
        let periods = (self.began.elapsed().as_secs_f64() / PERIOD.as_secs_f64()) as usize;
        let mut windows = vec![[0.0; 2]; periods + 1];
        for (region, backend) in self.fleet.backends.iter().enumerate() {
            for run in BackendServer::records(backend).runs {
                let at = run.arrived.saturating_duration_since(self.began);
                let window = (at.as_secs_f64() / PERIOD.as_secs_f64()) as usize;
                if run.arrived > self.began && window < windows.len() {
                    windows[window][region] += 1.0;
                }
            }
        }
        // The first window holds the start, the last two are not full.
        let full = windows.len().saturating_sub(2);
        let windows = windows[1..full].to_vec();
        println!("requests by region in each period: {windows:?}");
        println!("refused: {:?}", report.teams["open"].refused);
        Moved { windows, report }
    }
}

impl Moved {
    /// Part of the served requests that a region got in each period.
    fn shares(&self, region: usize) -> Vec<f64> {
        let part = |window: &[f64; 2]| window[region] / (window[0] + window[1]).max(1.0);
        self.windows.iter().map(part).collect()
    }

    /// What a region got in each period, as a part of the offered requests.
    fn parts_of_offered(&self, region: usize) -> Vec<f64> {
        let offered = RATE * PERIOD.as_secs_f64();
        self.windows.iter().map(|w| w[region] / offered).collect()
    }

    /// No region gains more than the cap from one period to the next.
    fn assert_capped(&self) {
        for region in 0..2 {
            assert_gains_capped(&self.shares(region));
        }
        assert_eq!(self.report.cut + self.report.wrong_answer, 0);
    }
}

fn assert_gains_capped(parts: &[f64]) {
    for pair in parts.windows(2) {
        assert!(pair[1] - pair[0] <= CAP + TOLERANCE, "{parts:.2?}");
    }
}

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

/// Guards against new weights that take effect at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_weight_change_moves_under_the_cap() {
    let loaded = Loaded::start(Duration::from_secs(14)).await;
    apply(&loaded.fleet, [9, 1]).await;
    let moved = loaded.finish().await;
    moved.assert_capped();
    let last = moved.shares(1).last().copied().unwrap();
    assert!((last - 0.1).abs() < TOLERANCE, "{:.2?}", moved.shares(1));
}

/// Guards against a drain that moves a whole region at once, and one that
/// leaves traffic behind.
#[tokio::test(flavor = "multi_thread")]
async fn a_region_drain_moves_under_the_cap_to_zero() {
    let loaded = Loaded::start(Duration::from_secs(15)).await;
    let drain = ["drain", "region", "south"];
    loaded.fleet.command(&drain).await;
    let moved = loaded.finish().await;
    moved.assert_capped();
    let last = moved.windows.last().copied().unwrap();
    assert!(last[1] == 0.0, "{:?}", moved.windows);
}

/// Time for another agent to take the lease and finish the move: a candidate
/// that reads the lease just before the last renewal waits for two of its
/// durations of 10 s.
const TAKEN_OVER: Duration = Duration::from_secs(22);

/// Guards against a new allocator that steps although the last step of the
/// former one is not in force, and against a move that is never finished.
#[tokio::test(flavor = "multi_thread")]
async fn the_allocator_is_killed_in_the_middle_of_a_move() {
    let mut loaded = Loaded::start(Duration::from_secs(26)).await;
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
    loaded.wait_for_south_below(0.101, TAKEN_OVER).await;
    loaded.finish().await.assert_capped();
}

/// Guards against steps that are made up while the store is down, or caught up
/// at once when it is back.
#[tokio::test(flavor = "multi_thread")]
async fn the_store_is_down_in_the_middle_of_a_move() {
    let loaded = Loaded::start(Duration::from_secs(17)).await;
    apply(&loaded.fleet, [9, 1]).await;
    loaded
        .wait_for_south_below(0.36, Duration::from_secs(5))
        .await;
    loaded.fleet.platform.set_down(true);
    let before = loaded.south();
    tokio::time::sleep(3 * PERIOD).await;
    assert!((loaded.south() - before).abs() < 1e-9);
    loaded.fleet.platform.set_down(false);
    loaded
        .wait_for_south_below(0.101, Duration::from_secs(8))
        .await;
    let moved = loaded.finish().await;
    moved.assert_capped();
    assert_eq!(moved.report.lost, 0);
}

/// Guards against a failed region that lifts the cap, and against refusals
/// that do not say that nothing ran.
#[tokio::test(flavor = "multi_thread")]
async fn all_backend_servers_of_a_region_die_at_once() {
    let loaded = Loaded::start(Duration::from_secs(10)).await;
    loaded.fleet.proxies[1].set_refuse(true);
    loaded.fleet.proxies[1].cut_open();
    let moved = loaded.finish().await;
    let north = moved.parts_of_offered(0);
    assert_gains_capped(&north);
    assert_eq!(moved.report.cut + moved.report.wrong_answer, 0);
    assert!(north.last() > north.first(), "nothing spills: {north:.2?}");
    assert_eq!(moved.report.lost, 0);
}

/// Guards against callers of a region without VMs whose traffic stays where
/// they turn to, beyond the weights.
#[tokio::test(flavor = "multi_thread")]
async fn all_vms_of_a_region_die_at_once() {
    let mut loaded = Loaded::start(Duration::from_secs(10)).await;
    // Dropping a VM kills its processes; the platform notices at once.
    let vms = std::mem::take(&mut loaded.fleet.vms);
    let (south, north): (Vec<_>, Vec<_>) =
        vms.into_iter().partition(|vm| vm.listed.region == "south");
    loaded.fleet.vms = north;
    for vm in south {
        loaded.fleet.platform.delete_vm(&vm.name);
        drop(vm);
    }
    let moved = loaded.finish().await;
    moved.assert_capped();
    let last = moved.shares(1).last().copied().unwrap();
    assert!(last > 0.5 - TOLERANCE - CAP, "{:.2?}", moved.shares(1));
}
