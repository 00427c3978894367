//! Follows the platform's objects.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::dissemination::{POLL_AFTER, StorePoll, store_poll};
use filbertgrade_coord::versioned::Applied;

use super::Agent;
use crate::logfmt;
use crate::platform::{Changes, PlatformError, Revision, WATCHED_PREFIXES};

/// Wait of one watch. Its end confirms the revision, so it must be well under
/// the freshness bound.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time beyond its wait from which a watch counts as slow. Further watches do
/// not wait then: the age of a confirmation grows to twice the time of a watch,
/// and with 2 s beyond a wait of 1 s it would pass the freshness bound.
const SLOW_CALL: Duration = Duration::from_millis(500);

/// Pause after the first failed call of a relay; it doubles with each further
/// one.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Longest pause of a relay. With 144 relays (72 failure domains), an outage
/// costs at most 150 calls/s.
const RELAY_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Longest pause without a VM list, when every agent calls the store. With
/// 3,500 agents that come back at once, it costs about 1,200 calls/s.
const LONE_PAUSE_MAX: Duration = Duration::from_secs(4);

/// How often a non-relay looks whether it must poll.
const POLL_CHECK: Duration = Duration::from_millis(100);

/// Watches the store while this agent is a relay; polls it when the relays
/// bring nothing.
pub(crate) async fn follow_store(agent: Arc<Agent>) {
    let mut polled: Option<(Instant, u32)> = None;
    let started = Instant::now();
    let mut failures = 0;
    let mut slow = false;
    loop {
        match next_step(&agent, started, polled) {
            Step::Watch => {
                polled = None;
                let wait = if slow { Duration::ZERO } else { WATCH_WAIT };
                let sent = Instant::now();
                let watched = watch_once(&agent, wait).await;
                slow = sent.elapsed() > wait + SLOW_CALL;
                match watched {
                    Ok(()) => failures = 0,
                    Err(error) => {
                        log::warn!("event=watch_failed error={}", logfmt::value(&error));
                        tokio::time::sleep(retry_pause(&agent, failures)).await;
                        failures += 1;
                    }
                }
            }
            Step::Poll => {
                let polls = polled.map_or(0, |(_, polls)| polls) + 1;
                polled = Some((Instant::now(), polls));
                if let Err(error) = watch_once(&agent, Duration::ZERO).await {
                    log::warn!("event=poll_failed error={}", logfmt::value(&error));
                }
            }
            Step::Wait { confirmed } => {
                if confirmed {
                    polled = None;
                }
                tokio::time::sleep(POLL_CHECK).await;
            }
        }
    }
}

enum Step {
    Watch,
    Poll,
    Wait { confirmed: bool },
}

/// Pause before the next call after `failures` earlier failures in a row,
/// jittered by half.
fn retry_pause(agent: &Agent, failures: u32) -> Duration {
    let longest = if agent.state().vms.is_empty() {
        LONE_PAUSE_MAX
    } else {
        RELAY_PAUSE_MAX
    };
    let pause = RETRY_PAUSE
        .saturating_mul(1 << failures.min(8))
        .min(longest);
    pause.mul_f64(rand::random_range(0.5..1.0))
}

fn next_step(agent: &Agent, started: Instant, polled: Option<(Instant, u32)>) -> Step {
    let now = Instant::now();
    let state = agent.state();
    if state.vms.is_empty() || state.topology.relay {
        return Step::Watch;
    }
    let confirmed_at = state.freshness.newest_confirmation().unwrap_or(started);
    let confirmed = now.saturating_duration_since(confirmed_at) < POLL_AFTER;
    let seed = xxhash_rust::xxh3::xxh3_64(agent.settings.vm.as_str().as_bytes());
    match store_poll(confirmed_at, polled.filter(|_| !confirmed), seed, now) {
        StorePoll::Now => Step::Poll,
        StorePoll::At(_) => Step::Wait { confirmed },
    }
}

async fn watch_once(agent: &Agent, wait: Duration) -> Result<(), PlatformError> {
    let sent = Instant::now();
    let held = *agent.revision.borrow();
    if held == 0 {
        let listed = agent.platform.list(&WATCHED_PREFIXES).await?;
        take_list(agent, listed, sent);
        return Ok(());
    }
    match agent.platform.watch(&WATCHED_PREFIXES, held, wait).await {
        Ok(changes) => {
            let revision = changes.revision;
            take_changes(agent, changes, held);
            // The confirmation counts from the start of the call, which is
            // never later than the store's word.
            confirm_at(agent, sent, revision);
            Ok(())
        }
        Err(error) if error.is_history_gone() => {
            let listed = agent.platform.list(&WATCHED_PREFIXES).await?;
            take_list(agent, listed, sent);
            Ok(())
        }
        Err(error) => Err(error),
    }
}

fn take_list(agent: &Agent, listed: Changes, sent: Instant) {
    let revision = listed.revision;
    match agent.advance(|objects| objects.apply_snapshot(listed.into_snapshot())) {
        Ok(_) => confirm_at(agent, sent, revision),
        Err(error) => log::warn!("event=list_rejected error={}", logfmt::value(&error)),
    }
}

fn take_changes(agent: &Agent, changes: Changes, held: Revision) {
    match agent.advance(|objects| objects.apply_delta(changes.into_delta(held))) {
        Ok(Applied::Advanced(names)) if !names.is_empty() => {
            log::info!(
                "event=store_changed revision={} objects={}",
                *agent.revision.borrow(),
                names.len()
            );
        }
        Ok(_) => {}
        Err(error) => log::warn!("event=changes_rejected error={}", logfmt::value(&error)),
    }
}

fn confirm_at(agent: &Agent, sent: Instant, revision: Revision) {
    let mut state = agent.state();
    state.freshness.confirm(sent, revision);
    let held = state.objects.revision();
    state.freshness.hold(held);
}
