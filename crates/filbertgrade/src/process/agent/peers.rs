//! Answers peer agents and the entry of the own VM.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use filbertgrade_coord::freshness::RegionAges;

use super::{Agent, FEED_WAIT};
use crate::version::OutgoingDeltas;
use crate::wire::{Body, Feed, Hello, Pull, PullReply, RegionEvidence, Report, StatusReply};

/// The entry reports after every feed, at least every [`FEED_WAIT`]. Without a
/// report for this time it is not running, and what it held counts for nothing.
const ENTRY_SILENT_AFTER: Duration = Duration::from_secs(2);

/// Receiver of deltas to the entry. It is no name of a VM.
const OWN_ENTRY: &str = "";

pub(crate) async fn answer(agent: Arc<Agent>, body: Body) -> Option<Body> {
    match body {
        Body::Hello(hello) => Some(Body::Feed(feed(&agent, &hello).await)),
        Body::Report(report) => {
            note_report(&agent, report);
            None
        }
        Body::Pull(pull) => Some(Body::PullReply(pull_reply(&agent, &pull))),
        Body::StatusRequest(_) => Some(Body::StatusReply(status(&agent))),
        _ => None,
    }
}

async fn feed(agent: &Agent, hello: &Hello) -> Feed {
    let asked = Instant::now();
    let mut revision = agent.revision.subscribe();
    let newer = revision.wait_for(|held| *held > hello.revision);
    let longest = longest_wait(agent.state().valid_for(asked));
    let _ = tokio::time::timeout(longest, newer).await;
    let state = agent.state();
    let now = Instant::now();
    let valid = match state.valid_for(now) {
        Duration::ZERO => Duration::ZERO,
        left => left + now.saturating_duration_since(asked),
    };
    let mut outgoing = lock(&agent.outgoing);
    Feed {
        delta: outgoing.page(&state.objects, OWN_ENTRY, hello.revision, hello.resume, now),
        valid_ms: valid.as_millis().try_into().unwrap_or(u32::MAX),
        revision: state.objects.revision(),
    }
}

/// Longest time until a feed is answered, by how long the state is still valid.
///
/// When the store goes out, what the entry knows lapses before the agent can
/// tell that the state remains valid. The entry has to hear that at once,
/// because it refuses all requests meanwhile.
fn longest_wait(valid: Duration) -> Duration {
    /// Timers have a resolution of 1 ms, and may not end before the lapse.
    const AFTER_LAPSE: Duration = Duration::from_millis(1);
    if valid.is_zero() {
        return FEED_WAIT;
    }
    FEED_WAIT.min(valid + AFTER_LAPSE)
}

fn note_report(agent: &Agent, report: Report) {
    let mut last = agent.report.lock().unwrap_or_else(PoisonError::into_inner);
    *last = Some(report);
    *lock(&agent.reported_at) = Some(Instant::now());
}

fn pull_reply(agent: &Agent, pull: &Pull) -> PullReply {
    let state = agent.state();
    let now = Instant::now();
    let held = state.objects.revision();
    let delta = if pull.one_page_only {
        OutgoingDeltas::default()
            .page(&state.objects, &pull.vm, pull.revision, None, now)
            .filter(|page| page.objects.len() as u64 == page.total)
    } else {
        lock(&agent.outgoing).page(&state.objects, &pull.vm, pull.revision, pull.resume, now)
    };
    PullReply {
        delta,
        regions: state
            .freshness
            .ages(now, held)
            .into_iter()
            .map(RegionEvidence::from)
            .collect(),
        revision: held,
    }
}

fn status(agent: &Agent) -> StatusReply {
    let age = lock(&agent.reported_at).map(|at| at.elapsed());
    let connected = age.is_some_and(|age| age <= ENTRY_SILENT_AFTER);
    let report = agent.report.lock().unwrap_or_else(PoisonError::into_inner);
    StatusReply {
        vm: agent.settings.vm.to_string(),
        agent_revision: *agent.revision.borrow(),
        entry: report.clone().filter(|_| connected),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl From<RegionAges> for RegionEvidence {
    fn from(ages: RegionAges) -> Self {
        let millis = |age: Duration| age.as_millis().try_into().unwrap_or(u32::MAX);
        Self {
            region: ages.region.to_string(),
            confirmed_age_ms: ages.confirmed.map(|(age, _)| millis(age)),
            heard_age_ms: ages.heard.map(millis),
            revision: ages.revision,
            confirmed_revision: ages.confirmed.map_or(0, |(_, revision)| revision),
        }
    }
}

impl TryFrom<RegionEvidence> for RegionAges {
    type Error = filbertgrade_coord::names::NameError;

    fn try_from(evidence: RegionEvidence) -> Result<Self, Self::Error> {
        // Ages are rounded down to whole milliseconds on the wire, so one is
        // added: evidence must never look younger than it is.
        let age = |ms: u32| Duration::from_millis(u64::from(ms) + 1);
        Ok(Self {
            region: evidence.region.as_str().try_into()?,
            confirmed: evidence
                .confirmed_age_ms
                .map(|ms| (age(ms), evidence.confirmed_revision)),
            heard: evidence.heard_age_ms.map(age),
            revision: evidence.revision,
        })
    }
}
