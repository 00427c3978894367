//! Keeps the agent's objects up to date with the store.
//!
//! Relays watch the store. Other agents receive the changes from peers and poll
//! the store only when confirmations are missing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::dissemination::{POLL_DELAY, StorePoll, next_store_poll};
use filbertgrade_coord::versioned::ApplyOutcome;

use super::Agent;
use crate::logfmt;
use crate::platform::{Changes, PlatformError, Revision, WATCHED_PREFIXES};

/// Wait time of one watch. The response confirms the revision, so this must be
/// well below the maximum age of evidence.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time beyond its wait after which a watch counts as slow. The next watch then
/// does not wait: the age of a confirmation reaches twice the duration of a
/// watch, and with 2 s beyond a wait of 1 s it would exceed the maximum age of
/// evidence.
const SLOW_CALL_MARGIN: Duration = Duration::from_millis(500);

/// Delay after the first failed call of a relay; it doubles with each further
/// failure.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum retry delay of a relay. With 144 relays (72 failure domains), this
/// limits the load in an outage to 150 calls/s.
const MAX_RELAY_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Maximum retry delay without a VM list, when every agent calls the store. With
/// 3,500 agents that restart at once, the load is about 1,200 calls/s.
const MAX_RETRY_DELAY_WITHOUT_VM_LIST: Duration = Duration::from_secs(4);

/// Interval at which an agent that is not a relay checks whether it must poll.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches the store while this agent is a relay. Otherwise polls it when no
/// confirmation has arrived from the relays for some time.
pub(crate) async fn follow_store(agent: Arc<Agent>) {
    // When the store was last polled, and the number of polls since the last
    // confirmation.
    let mut polled: Option<(Instant, u32)> = None;
    let started = Instant::now();
    let mut failures = 0;
    let mut last_watch_slow = false;
    loop {
        match next_step(&agent, started, polled) {
            Step::Watch => {
                polled = None;
                let wait = if last_watch_slow {
                    Duration::ZERO
                } else {
                    WATCH_WAIT
                };
                let sent_at = Instant::now();
                let watched = watch_once(&agent, wait).await;
                last_watch_slow = sent_at.elapsed() > wait + SLOW_CALL_MARGIN;
                match watched {
                    Ok(()) => failures = 0,
                    Err(error) => {
                        log::warn!("event=watch_failed error={}", logfmt::value(&error));
                        tokio::time::sleep(retry_delay(&agent, failures)).await;
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
                tokio::time::sleep(POLL_CHECK_INTERVAL).await;
            }
        }
    }
}

/// Next step of [`follow_store`].
enum Step {
    /// Watch the store, as a relay or because there is no VM list.
    Watch,
    /// Poll the store, because confirmations are missing.
    Poll,
    /// Wait. `confirmed` is set when the held revision was confirmed recently,
    /// which resets the backoff between polls.
    Wait { confirmed: bool },
}

/// Delay before the next call after `failures` earlier consecutive failures. It
/// is reduced by up to half at random.
fn retry_delay(agent: &Agent, failures: u32) -> Duration {
    let max_delay = if agent.state().vms.is_empty() {
        MAX_RETRY_DELAY_WITHOUT_VM_LIST
    } else {
        MAX_RELAY_RETRY_DELAY
    };
    let delay = INITIAL_RETRY_DELAY
        .saturating_mul(1 << failures.min(8))
        .min(max_delay);
    delay.mul_f64(rand::random_range(0.5..1.0))
}

fn next_step(agent: &Agent, started: Instant, polled: Option<(Instant, u32)>) -> Step {
    let now = Instant::now();
    let state = agent.state();
    if state.vms.is_empty() || state.topology.is_relay {
        return Step::Watch;
    }
    let confirmed_at = state.freshness.held_confirmed_at().unwrap_or(started);
    let confirmed = now.saturating_duration_since(confirmed_at) < POLL_DELAY;
    let seed = xxhash_rust::xxh3::xxh3_64(agent.settings.vm.as_str().as_bytes());
    match next_store_poll(confirmed_at, polled.filter(|_| !confirmed), seed, now) {
        StorePoll::Now => Step::Poll,
        StorePoll::At(_) => Step::Wait { confirmed },
    }
}

/// Fetches the changes after the held revision, waiting for up to `wait`. Lists
/// all objects when nothing is held yet or the store has dropped the history.
async fn watch_once(agent: &Agent, wait: Duration) -> Result<(), PlatformError> {
    let sent_at = Instant::now();
    let held = *agent.revision.borrow();
    if held == 0 {
        let listed = agent.platform.list(&WATCHED_PREFIXES).await?;
        apply_list(agent, listed, sent_at);
        return Ok(());
    }
    match agent.platform.watch(&WATCHED_PREFIXES, held, wait).await {
        Ok(changes) => {
            let revision = changes.revision;
            apply_changes(agent, changes, held);
            // The confirmation is dated to the start of the call, which is never
            // later than the moment at which the store read its revision.
            record_confirmation(agent, sent_at, revision);
            Ok(())
        }
        Err(error) if error.is_history_gone() => {
            let listed = agent.platform.list(&WATCHED_PREFIXES).await?;
            apply_list(agent, listed, sent_at);
            Ok(())
        }
        Err(error) => Err(error),
    }
}

fn apply_list(agent: &Agent, listed: Changes, sent_at: Instant) {
    let revision = listed.revision;
    match agent.apply_update(|objects| objects.apply_snapshot(listed.into_snapshot())) {
        Ok(_) => record_confirmation(agent, sent_at, revision),
        Err(error) => log::warn!("event=list_rejected error={}", logfmt::value(&error)),
    }
}

fn apply_changes(agent: &Agent, changes: Changes, held: Revision) {
    match agent.apply_update(|objects| objects.apply_delta(changes.into_delta(held))) {
        Ok(ApplyOutcome::Advanced(names)) if !names.is_empty() => {
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

fn record_confirmation(agent: &Agent, sent_at: Instant, revision: Revision) {
    let mut state = agent.state();
    state.freshness.record_confirmation(sent_at, revision);
    let held = state.objects.revision();
    state.freshness.update_held_confirmation(held);
}
