//! Tests of the limit on requests that spill to another region.

use std::time::{Duration, Instant};

use filbertgrade_coord::spill::{SpillConfig, SpillLimit};
use proptest::prelude::{ProptestConfig, prop_assert, proptest};

const PERIOD: Duration = Duration::from_secs(10);

/// Sends 100 requests/s for one period, of which the fraction `demand` tries to
/// spill. Returns the fraction of all requests that spilled.
fn run_period(limit: &mut SpillLimit, cfg: &SpillConfig, now: &mut Instant, demand: f64) -> f64 {
    let mut spilled = 0;
    for n in 0..1000 {
        limit.record_request(cfg, *now);
        if f64::from(n % 100) < demand * 100.0 && limit.try_spill(cfg, *now) {
            spilled += 1;
        }
        *now += PERIOD / 1000;
    }
    f64::from(spilled) / 1000.0
}

/// Guards against requests of a failed region that all spill at once, and
/// against requests of a failed region that never spill.
#[test]
fn requests_of_a_failed_region_spill_in_steps_of_the_cap() {
    let cfg = SpillConfig::new(0.1, PERIOD);
    let mut now = Instant::now();
    let mut limit = SpillLimit::new(&cfg, now);
    assert!(run_period(&mut limit, &cfg, &mut now, 0.02) <= 0.02);
    let mut last: f64 = 0.02;
    for _ in 0..12 {
        let spilled = run_period(&mut limit, &cfg, &mut now, 1.0);
        assert!(spilled <= last + 0.1 + 0.012, "{spilled} after {last}");
        assert!(spilled >= (last + 0.08).min(0.99), "{spilled} after {last}");
        last = spilled;
    }
    // After the region has recovered, the limit of the next failure starts at
    // the cap again.
    run_period(&mut limit, &cfg, &mut now, 0.0);
    let spilled = run_period(&mut limit, &cfg, &mut now, 1.0);
    assert!(spilled <= 0.112, "{spilled}");
}

/// Guards against refusing every spill of a service with few requests, because
/// the allowed fraction is less than one request.
#[test]
fn a_few_requests_may_spill_after_an_idle_time() {
    let cfg = SpillConfig::new(0.1, PERIOD);
    let now = Instant::now();
    let mut limit = SpillLimit::new(&cfg, now);
    for _ in 0..10 {
        limit.record_request(&cfg, now);
        assert!(limit.try_spill(&cfg, now));
    }
}

/// Guards against requests that use up the limit although they found no free
/// slot in another region.
#[test]
fn a_cancelled_spill_is_not_counted() {
    let cfg = SpillConfig::new(0.1, PERIOD);
    let now = Instant::now();
    let mut limit = SpillLimit::new(&cfg, now);
    for _ in 0..100 {
        limit.record_request(&cfg, now);
        assert!(limit.try_spill(&cfg, now));
        limit.cancel_spill(&cfg);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    // Guards against more spilled requests than the level allows, and against a
    // level that grows by more than one cap in a period.
    #[test]
    fn spilled_requests_stay_within_the_level(
        cap in 0.01..1.0_f64,
        steps in proptest::collection::vec((0..3_000_u64, 0..4_u8), 1..400),
    ) {
        let cfg = SpillConfig::new(cap, PERIOD);
        let mut now = Instant::now();
        let mut limit = SpillLimit::new(&cfg, now);
        let mut allowed = cfg.allowance;
        let mut spilled = 0.0;
        let (mut level, mut changed_at) = (limit.level(), now);
        for (ms, action) in steps {
            now += Duration::from_millis(ms);
            limit.record_request(&cfg, now);
            allowed += limit.level();
            if action > 0 && limit.try_spill(&cfg, now) {
                spilled += 1.0;
                if action == 3 {
                    limit.cancel_spill(&cfg);
                    spilled -= 1.0;
                }
            }
            prop_assert!(spilled <= allowed + 1e-6, "{spilled} spilled, {allowed} allowed");
            prop_assert!((cap.min(1.0)..=1.0).contains(&limit.level()));
            if limit.level() > level {
                prop_assert!(limit.level() <= level + cap + 1e-9);
                prop_assert!(now >= changed_at + PERIOD);
                changed_at = now;
            }
            level = limit.level();
        }
    }
}
