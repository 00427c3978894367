//! Answers peer agents and the entry of the own VM.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::freshness::RegionAges;

use super::{Agent, FEED_WAIT, lock};
use crate::connection::traffic;
use crate::version::{OutgoingDeltas, VmRecord, VmState};
use crate::wire::{Body, Feed, Hello, Pull, PullReply, RegionEvidence, Report, StatusReply};

/// The entry reports after every feed, at least every [`FEED_WAIT`]. Without a
/// report for this time it is not running, and what it held counts for nothing.
const ENTRY_SILENT_AFTER: Duration = Duration::from_secs(2);

/// Shortest wait of a feed, which bounds the calls of the entry.
const SHORTEST_WAIT: Duration = Duration::from_millis(20);

/// Pullers remembered while there is no VM list. They are asked in turn, so a
/// few are enough to find one that is up to date.
const MOST_PULLERS: usize = 8;

/// Receiver of deltas to the entry. It is no name of a VM.
const OWN_ENTRY: &str = "";

pub(crate) async fn answer(agent: Arc<Agent>, peer: SocketAddr, body: Body) -> Option<Body> {
    match body {
        Body::Hello(hello) => Some(Body::Feed(feed(&agent, &hello).await)),
        Body::Report(report) => {
            note_report(&agent, report);
            None
        }
        Body::Pull(pull) => {
            note_puller(&agent, peer.ip(), &pull);
            Some(Body::PullReply(pull_reply(&agent, &pull)))
        }
        Body::StatusRequest(_) => Some(Body::StatusReply(status(&agent))),
        _ => None,
    }
}

async fn feed(agent: &Agent, hello: &Hello) -> Feed {
    let asked = Instant::now();
    let mut revision = agent.revision.subscribe();
    let newer = revision.wait_for(|held| *held > hello.revision);
    // A feed that is late in a short validity would leave a gap before the next.
    let wait = match agent.state().valid_for(asked) {
        Some(valid) if valid > Duration::ZERO => FEED_WAIT.min(valid / 4),
        _ => FEED_WAIT,
    };
    let _ = tokio::time::timeout(wait.max(SHORTEST_WAIT), newer).await;
    let mut state = agent.state();
    let now = Instant::now();
    let valid = if state.objects.revision() < hello.revision {
        // This agent was restarted and has not caught up with its entry.
        state.freshness.record_known_revision(hello.revision);
        None
    } else {
        // The entry counts the validity from its request.
        state.valid_for(now).map(|left| match left {
            Duration::ZERO => left,
            left => left + now.saturating_duration_since(asked),
        })
    };
    let mut outgoing = lock(&agent.outgoing);
    Feed {
        delta: outgoing.next_page(&state.objects, OWN_ENTRY, hello.revision, hello.resume, now),
        valid_ms: valid.map(|valid| valid.as_millis().try_into().unwrap_or(u32::MAX)),
        revision: state.objects.revision(),
    }
}

fn note_report(agent: &Agent, report: Report) {
    let mut last = lock(&agent.report);
    *last = Some(report);
    *lock(&agent.reported_at) = Some(Instant::now());
}

/// Remembers who pulls while this agent has no VM list: a VM that comes back
/// without state during an outage of the store gets it from these peers.
fn note_puller(agent: &Agent, address: IpAddr, pull: &Pull) {
    if !agent.state().vms.is_empty() {
        return;
    }
    let (Ok(name), Ok(region), Ok(failure_domain)) = (
        pull.vm.as_str().try_into(),
        pull.region.as_str().try_into(),
        pull.failure_domain.as_str().try_into(),
    ) else {
        return;
    };
    let mut pullers = lock(&agent.pullers);
    pullers.retain(|known: &VmRecord| known.name != name);
    pullers.truncate(MOST_PULLERS - 1);
    pullers.insert(
        0,
        VmRecord {
            name,
            address,
            region,
            failure_domain,
            state: VmState::Live,
        },
    );
}

fn pull_reply(agent: &Agent, pull: &Pull) -> PullReply {
    let state = agent.state();
    let now = Instant::now();
    let held = state.objects.revision();
    let mut ages = state.freshness.ages(now, held);
    if pull.newest_confirmation_only {
        ages = newest_confirmation(ages).into_iter().collect();
    }
    let delta = if pull.one_page_only {
        OutgoingDeltas::default()
            .next_page(&state.objects, &pull.vm, pull.revision, None, now)
            .filter(|page| page.objects.len() as u64 == page.total)
    } else {
        lock(&agent.outgoing).next_page(&state.objects, &pull.vm, pull.revision, pull.resume, now)
    };
    PullReply {
        delta,
        regions: ages.into_iter().map(RegionEvidence::from).collect(),
        revision: held,
    }
}

fn newest_confirmation(ages: Vec<RegionAges>) -> Option<RegionAges> {
    let confirmed = ages.into_iter().filter(|ages| ages.confirmed.is_some());
    confirmed.min_by_key(|ages| ages.confirmed.map(|(age, _)| age))
}

fn status(agent: &Agent) -> StatusReply {
    let age = lock(&agent.reported_at).map(|at| at.elapsed());
    let connected = age.is_some_and(|age| age <= ENTRY_SILENT_AFTER);
    let report = lock(&agent.report);
    StatusReply {
        vm: agent.settings.vm.to_string(),
        agent_revision: *agent.revision.borrow(),
        entry: report.clone().filter(|_| connected),
        traffic: Some(traffic::total()),
    }
}

impl From<RegionAges> for RegionEvidence {
    fn from(ages: RegionAges) -> Self {
        let millis = |age: Duration| age.as_millis().try_into().unwrap_or(u32::MAX);
        Self {
            region: ages.region.to_string(),
            confirmed_age_ms: ages.confirmed.map(|(age, _)| millis(age)),
            heard_age_ms: ages.last_received.map(millis),
            revision: ages.revision,
            confirmed_revision: ages.confirmed.map_or(0, |(_, revision)| revision),
            reached_age_ms: ages.store_answered.map(millis),
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
            store_answered: evidence.reached_age_ms.map(age),
            last_received: evidence.heard_age_ms.map(age),
            revision: evidence.revision,
        })
    }
}
