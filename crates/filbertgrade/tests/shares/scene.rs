//! A fleet with one team far over its rate and one within it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::BackendServer;
use filbertgrade_standins::caller::{
    Key, Limit, Load, LoadConfig, LoadReport, RequestKind, Route, TeamLoad,
};
use http::Request;
use http_body_util::Full;

use crate::fleet::{Fleet, Regions, send};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(500);

/// Longest time from the admission of a request to its arrival at a backend
/// server. The entry counts `x-deadline-ms` from the arrival of the request,
/// takes the token after that, and starts no attempt later than
/// `MIN_DEADLINE` before the deadline (`take_slot` and `request_for` in
/// `entry/carry.rs`). An admission is therefore observed late by less than
/// the deadline, and never early.
const JITTER: Duration = DEADLINE;

/// The team that sends five times its rate.
pub(crate) const GREEDY: Limit = Limit {
    rate: 60.0,
    burst: 30.0,
};

/// The team that sends 80% of its rate.
pub(crate) const STEADY: Limit = Limit {
    rate: 100.0,
    burst: 40.0,
};

const GREEDY_LOAD: f64 = 5.0 * GREEDY.rate;
const STEADY_LOAD: f64 = 0.8 * STEADY.rate;

/// VMs of the fleet at the start.
pub(crate) const VMS: u8 = 4;

/// A fleet whose share table is in effect, and the keys of its two teams.
pub(crate) struct Scene {
    pub(crate) fleet: Fleet,
    greedy: Key,
    steady: Key,
}

impl Scene {
    /// Starts the fleet in one region and waits until every VM has its share.
    pub(crate) async fn start(proxied: bool) -> Self {
        let fleet = if proxied {
            Fleet::start_proxied(VMS, Regions::One).await
        } else {
            Fleet::start(VMS).await
        };
        let config = fleet
            .config()
            .replace("rate = 1000\nburst = 1000", &limit_text(GREEDY))
            .replace("rate = 20\nburst = 20", &limit_text(STEADY));
        fleet.apply_text(&config).await;
        let greedy = fleet.create_key("atelier").await;
        let steady = fleet.create_key("outfitter").await;
        let probe = |vm| serves(vm, steady.clone());
        fleet.wait_until(Duration::from_secs(10), probe).await;
        let scene = Self {
            fleet,
            greedy: Key::new(greedy),
            steady: Key::new(steady),
        };
        scene.wait_for_shares(usize::from(VMS)).await;
        // The buckets are full after burst / rate = 0.5 s.
        tokio::time::sleep(Duration::from_secs(1)).await;
        scene
    }

    /// Waits until the share table gives as many VMs a share.
    async fn wait_for_shares(&self, vms: usize) {
        let start = Instant::now();
        while self.holders() != vms {
            assert!(
                start.elapsed() < Duration::from_secs(8),
                "{} of {vms} VMs have a share",
                self.holders()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// VMs with units in the share table.
    pub(crate) fn holders(&self) -> usize {
        let Some((_, table)) = self.fleet.platform.get("shares/table") else {
            return 0;
        };
        let table: serde_json::Value = serde_json::from_slice(&table).unwrap();
        let units = table["units"].as_object().unwrap();
        units.values().filter(|n| n.as_u64() > Some(0)).count()
    }

    /// Addresses of some of the VMs, which count from 0.
    pub(crate) fn route(&self, vms: &[usize]) -> Route {
        Route::Vms(vms.iter().map(|vm| self.fleet.vms[*vm].callers()).collect())
    }

    /// The load of both teams.
    pub(crate) fn load(&self, route: Route, duration: Duration) -> Load {
        let team = |name: &str, key: &Key, rate, limit| TeamLoad {
            key: Some(key.clone()),
            limit: Some(limit),
            ..TeamLoad::new(
                name,
                rate,
                vec![RequestKind::chart("chart"), RequestKind::order("chart")],
            )
        };
        let teams = vec![
            team("atelier", &self.greedy, GREEDY_LOAD, GREEDY),
            team("outfitter", &self.steady, STEADY_LOAD, STEADY),
        ];
        Load::new(LoadConfig {
            duration,
            deadline: DEADLINE,
            ..LoadConfig::new(route, teams)
        })
    }

    /// Checks what must hold in every case, and that the team within its rate
    /// was refused at most `refusals` requests within its rate.
    pub(crate) fn check(&self, report: &LoadReport, refusals: f64) {
        let backends = &self.fleet.backends;
        let records: Vec<_> = backends.iter().map(BackendServer::records).collect();
        let joined = report.compare_with_backends(&records, JITTER);
        let (greedy, steady) = (&report.teams["atelier"], &report.teams["outfitter"]);
        println!(
            "allowed refusals {refusals:.0}, within rate {}, refused {:?}, lost {}, served {} of {}; \
             greedy served {} of {}, refused {:?}, within rate {}; {joined:?}",
            steady.refused_within_rate,
            steady.refused,
            steady.lost,
            steady.served,
            steady.sent,
            greedy.served,
            greedy.sent,
            greedy.refused,
            greedy.refused_within_rate,
        );
        assert_eq!(joined.over_rate, 0, "{joined:?}");
        assert_eq!(joined.wrong_team, 0, "{joined:?}");
        assert_eq!(joined.ran_after_not_run, 0, "{joined:?}");
        assert_eq!(joined.repeated, 0, "{joined:?}");
        assert_eq!(joined.key_seen_by_backend, 0, "{joined:?}");
        assert!(steady.served > 0 && greedy.served > 0);
        assert!(
            steady.refused_within_rate as f64 <= refusals,
            "{} requests refused within the rate, at most {refusals} are due to lost VMs",
            steady.refused_within_rate
        );
    }
}

/// What one VM's base share of the team within its rate admits in `time`,
/// with a full burst at the beginning.
pub(crate) fn part_of_a_vm(time: Duration) -> f64 {
    (STEADY.burst + STEADY.rate * time.as_secs_f64()) / f64::from(VMS)
}

fn limit_text(limit: Limit) -> String {
    format!("rate = {}\nburst = {}", limit.rate, limit.burst)
}

async fn serves(vm: SocketAddr, secret: String) -> bool {
    let req = Request::get("/chart/probe")
        .header("host", "chart")
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::<Bytes>::default())
        .unwrap();
    send(vm, req).await.is_ok_and(|a| a.status() == 200)
}
