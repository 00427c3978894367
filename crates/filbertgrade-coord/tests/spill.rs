//! Tests of the limit on requests that leave their region.

use std::time::{Duration, Instant};

use filbertgrade_coord::spill::{SpillConfig, SpillLimit};
use proptest::prelude::{ProptestConfig, prop_assert, proptest};

const PERIOD: Duration = Duration::from_secs(10);

/// Sends 100 requests/s for one period and returns the fraction that left, of
/// those that wanted to.
fn period(limit: &mut SpillLimit, cfg: &SpillConfig, now: &mut Instant, want: f64) -> f64 {
    let mut left = 0;
    for n in 0..1000 {
        limit.record_request(cfg, *now);
        if f64::from(n % 100) < want * 100.0 && limit.try_spill(cfg, *now) {
            left += 1;
        }
        *now += PERIOD / 1000;
    }
    f64::from(left) / 1000.0
}

/// Guards against a failed region whose requests all leave at once, and
/// against one whose requests never leave.
#[test]
fn requests_of_a_failed_region_leave_in_steps_of_the_cap() {
    let cfg = SpillConfig::new(0.1, PERIOD);
    let mut now = Instant::now();
    let mut limit = SpillLimit::new(&cfg, now);
    assert!(period(&mut limit, &cfg, &mut now, 0.02) <= 0.02);
    let mut last: f64 = 0.02;
    for _ in 0..12 {
        let left = period(&mut limit, &cfg, &mut now, 1.0);
        assert!(left <= last + 0.1 + 0.012, "{left} after {last}");
        assert!(left >= (last + 0.08).min(0.99), "{left} after {last}");
        last = left;
    }
    // After the region is back, the next failure starts anew.
    period(&mut limit, &cfg, &mut now, 0.0);
    let left = period(&mut limit, &cfg, &mut now, 1.0);
    assert!(left <= 0.112, "{left}");
}

/// Guards against a service with few requests that is refused for a fraction
/// of less than one request.
#[test]
fn a_few_requests_may_leave_after_a_quiet_time() {
    let cfg = SpillConfig::new(0.1, PERIOD);
    let now = Instant::now();
    let mut limit = SpillLimit::new(&cfg, now);
    for _ in 0..10 {
        limit.record_request(&cfg, now);
        assert!(limit.try_spill(&cfg, now));
    }
}

/// Guards against requests that found no room elsewhere and use up the limit.
#[test]
fn a_request_that_stayed_is_not_counted() {
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

    // Guards against more requests that leave than the level allows, and a
    // level that grows by more than one cap in a period.
    #[test]
    fn requests_that_leave_stay_within_the_level(
        cap in 0.01..1.0_f64,
        steps in proptest::collection::vec((0..3_000_u64, 0..4_u8), 1..400),
    ) {
        let cfg = SpillConfig::new(cap, PERIOD);
        let mut now = Instant::now();
        let mut limit = SpillLimit::new(&cfg, now);
        let mut allowed = cfg.allowance;
        let mut left = 0.0;
        let (mut level, mut changed) = (limit.level(), now);
        for (ms, action) in steps {
            now += Duration::from_millis(ms);
            limit.record_request(&cfg, now);
            allowed += limit.level();
            if action > 0 && limit.try_spill(&cfg, now) {
                left += 1.0;
                if action == 3 {
                    limit.cancel_spill(&cfg);
                    left -= 1.0;
                }
            }
            prop_assert!(left <= allowed + 1e-6, "{left} left, {allowed} allowed");
            prop_assert!((cap.min(1.0)..=1.0).contains(&limit.level()));
            if limit.level() > level {
                prop_assert!(limit.level() <= level + cap + 1e-9);
                prop_assert!(now >= changed + PERIOD);
                changed = now;
            }
            level = limit.level();
        }
    }
}
