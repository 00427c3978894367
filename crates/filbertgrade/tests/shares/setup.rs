//! Test set-up: a fleet under load from one team far over its rate and one team
//! within its rate.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_standins::backend::BackendServer;
use filbertgrade_standins::caller::{
    Key, Limit, Load, LoadConfig, LoadReport, RequestKind, Route, TeamLoad,
};
use http::Request;
use http_body_util::Full;

use crate::fleet::{Fleet, RegionLayout, send};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(500);

/// Longest time from the admission of a request to its arrival at a backend
/// server. The entry counts `x-deadline-ms` from when it receives the request,
/// takes the token after that, and starts no attempt later than
/// `MIN_DEADLINE` before the deadline (`acquire_slot` and `build_request` in
/// `entry/forward.rs`). Admissions are therefore observed late by less than the
/// deadline, and never early.
const JITTER: Duration = DEADLINE;

/// Limit of the team that sends five times its rate.
pub(crate) const OVER_RATE: Limit = Limit {
    rate: 60.0,
    burst: 30.0,
};

/// Limit of the team that sends 80% of its rate.
pub(crate) const WITHIN_RATE: Limit = Limit {
    rate: 100.0,
    burst: 40.0,
};

/// Load of the teams in requests per second.
const OVER_RATE_LOAD: f64 = 5.0 * OVER_RATE.rate;
const WITHIN_RATE_LOAD: f64 = 0.8 * WITHIN_RATE.rate;

/// Number of VMs of the fleet at the start.
pub(crate) const VMS: u8 = 4;

/// A fleet whose share table is in effect, with the keys of its two teams.
pub(crate) struct Setup {
    pub(crate) fleet: Fleet,
    over_rate_key: Key,
    within_rate_key: Key,
}

impl Setup {
    /// Starts the fleet and waits until every VM has its share. A proxied fleet is
    /// in a single region.
    pub(crate) async fn start(proxied: bool) -> Self {
        let fleet = if proxied {
            Fleet::start_proxied(VMS, RegionLayout::NorthOnly).await
        } else {
            Fleet::start(VMS).await
        };
        let config = fleet
            .config()
            .replace("rate = 1000\nburst = 1000", &limit_text(OVER_RATE))
            .replace("rate = 20\nburst = 20", &limit_text(WITHIN_RATE));
        fleet.apply_text(&config).await;
        let over_rate_key = fleet.create_key("atelier").await;
        let within_rate_key = fleet.create_key("outfitter").await;
        let probe = |vm| serves(vm, within_rate_key.clone());
        fleet.wait_until(Duration::from_secs(10), probe).await;
        let setup = Self {
            fleet,
            over_rate_key: Key::new(over_rate_key),
            within_rate_key: Key::new(within_rate_key),
        };
        setup.wait_for_shares(usize::from(VMS)).await;
        // The buckets are full after burst / rate = 0.5 s.
        tokio::time::sleep(Duration::from_secs(1)).await;
        setup
    }

    /// Waits until exactly `vms` VMs have units in the share table.
    async fn wait_for_shares(&self, vms: usize) {
        let start = Instant::now();
        while self.vms_with_share() != vms {
            assert!(
                start.elapsed() < Duration::from_secs(8),
                "{} of {vms} VMs have a share",
                self.vms_with_share()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the number of VMs with units in the share table.
    pub(crate) fn vms_with_share(&self) -> usize {
        let Some((_, table)) = self.fleet.platform.get("shares/table") else {
            return 0;
        };
        let table: serde_json::Value = serde_json::from_slice(&table).unwrap();
        let units = table["units"].as_object().unwrap();
        units.values().filter(|n| n.as_u64() > Some(0)).count()
    }

    /// Returns a route to the VMs with these indices, counted from 0.
    pub(crate) fn route(&self, vms: &[usize]) -> Route {
        Route::Vms(
            vms.iter()
                .map(|vm| self.fleet.vms[*vm].caller_address())
                .collect(),
        )
    }

    /// Returns the load of both teams on `route`.
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
            team("atelier", &self.over_rate_key, OVER_RATE_LOAD, OVER_RATE),
            team(
                "outfitter",
                &self.within_rate_key,
                WITHIN_RATE_LOAD,
                WITHIN_RATE,
            ),
        ];
        Load::new(LoadConfig {
            duration,
            deadline: DEADLINE,
            ..LoadConfig::new(route, teams)
        })
    }

    /// Asserts the properties that hold in every scenario, and that at most
    /// `allowed_refusals` requests of the team within its rate were refused.
    pub(crate) fn check(&self, report: &LoadReport, allowed_refusals: f64) {
        let backends = &self.fleet.backends;
        let records: Vec<_> = backends.iter().map(BackendServer::records).collect();
        let comparison = report.compare_with_backends(&records, JITTER);
        let (over_rate, within_rate) = (&report.teams["atelier"], &report.teams["outfitter"]);
        println!(
            "team within its rate: allowed refusals {allowed_refusals:.0}, within rate {}, refused {:?}, lost {}, served {} of {}; \
             team over its rate: served {} of {}, refused {:?}, within rate {}; {comparison:?}",
            within_rate.refused_within_rate,
            within_rate.refused,
            within_rate.lost,
            within_rate.served,
            within_rate.sent,
            over_rate.served,
            over_rate.sent,
            over_rate.refused,
            over_rate.refused_within_rate,
        );
        assert_eq!(comparison.over_rate, 0, "{comparison:?}");
        assert_eq!(comparison.wrong_team, 0, "{comparison:?}");
        assert_eq!(comparison.ran_after_not_run, 0, "{comparison:?}");
        assert_eq!(comparison.repeated, 0, "{comparison:?}");
        assert_eq!(comparison.key_seen_by_backend, 0, "{comparison:?}");
        assert!(within_rate.served > 0 && over_rate.served > 0);
        assert!(
            within_rate.refused_within_rate as f64 <= allowed_refusals,
            "{} requests within the rate were refused, but lost VMs explain at most {allowed_refusals}",
            within_rate.refused_within_rate
        );
    }
}

/// Returns the number of requests that one VM's base share of the team within its
/// rate admits in `time`, starting with a full burst.
pub(crate) fn requests_of_one_share(time: Duration) -> f64 {
    (WITHIN_RATE.burst + WITHIN_RATE.rate * time.as_secs_f64()) / f64::from(VMS)
}

/// Formats a limit as the lines of a team's table.
fn limit_text(limit: Limit) -> String {
    format!("rate = {}\nburst = {}", limit.rate, limit.burst)
}

/// Returns whether the VM serves a request with this key.
async fn serves(vm: SocketAddr, secret: String) -> bool {
    let req = Request::get("/chart/probe")
        .header("host", "chart")
        .header("authorization", format!("Bearer {secret}"))
        .body(Full::<Bytes>::default())
        .unwrap();
    send(vm, req).await.is_ok_and(|a| a.status() == 200)
}
