//! Handles messages of peer agents and of the entry on the same VM.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::freshness::RegionAges;

use super::{Agent, FEED_WAIT, lock};
use crate::connection::traffic;
use crate::version::{OutgoingDeltas, VmRecord, VmState};
use crate::wire::{
    Body, EntryReport, Feed, FeedRequest, PullReply, PullRequest, RegionEvidence, StatusReply,
};

/// Time after the last report from which the entry is considered stopped, so
/// that its report is no longer valid. A running entry reports after every
/// feed, at least every [`FEED_WAIT`].
const ENTRY_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time until a feed without changes is sent. It limits the rate of
/// the entry's requests.
const MIN_FEED_WAIT: Duration = Duration::from_millis(20);

/// Maximum number of pullers that are remembered while there is no VM list. This
/// agent pulls from them in turn, so a few are enough to find one that is up to
/// date.
const MAX_RECENT_PULLERS: usize = 8;

/// Receiver name of deltas to the entry. It cannot be the name of a VM.
const LOCAL_ENTRY: &str = "";

/// Handles one message and returns the reply, if the message has one.
pub(crate) async fn handle(agent: Arc<Agent>, peer: SocketAddr, body: Body) -> Option<Body> {
    match body {
        Body::FeedRequest(request) => Some(Body::Feed(feed(&agent, &request).await)),
        Body::EntryReport(report) => {
            record_report(&agent, report);
            None
        }
        Body::PullRequest(pull) => {
            record_puller(&agent, peer.ip(), &pull);
            Some(Body::PullReply(pull_reply(&agent, &pull)))
        }
        Body::StatusRequest(_) => Some(Body::StatusReply(status(&agent))),
        _ => None,
    }
}

/// Waits for a revision above that of the request, and returns the changes and
/// the remaining validity.
async fn feed(agent: &Agent, request: &FeedRequest) -> Feed {
    let requested_at = Instant::now();
    let mut revision = agent.revision.subscribe();
    let newer = revision.wait_for(|held| *held > request.revision);
    // With a short validity, a feed that is sent late would leave a gap before
    // the next one.
    let wait = match agent.state().remaining_validity(requested_at) {
        Some(valid) if valid > Duration::ZERO => FEED_WAIT.min(valid / 4),
        _ => FEED_WAIT,
    };
    let _ = tokio::time::timeout(wait.max(MIN_FEED_WAIT), newer).await;
    let mut state = agent.state();
    let now = Instant::now();
    let valid = if state.objects.revision() < request.revision {
        // This agent was restarted and its state is still older than that of
        // its entry.
        state.freshness.record_known_revision(request.revision);
        None
    } else {
        // The entry counts the validity from the time of its request, so the
        // time since then is added.
        state.remaining_validity(now).map(|left| match left {
            Duration::ZERO => left,
            left => left + now.saturating_duration_since(requested_at),
        })
    };
    let mut outgoing = lock(&agent.outgoing);
    Feed {
        delta: outgoing.next_page(
            &state.objects,
            LOCAL_ENTRY,
            request.revision,
            request.resume,
            now,
        ),
        valid_ms: valid.map(|valid| valid.as_millis().try_into().unwrap_or(u32::MAX)),
        revision: state.objects.revision(),
    }
}

fn record_report(agent: &Agent, report: EntryReport) {
    let mut last = lock(&agent.report);
    *last = Some(report);
    *lock(&agent.reported_at) = Some(Instant::now());
}

/// Remembers which VMs pull while this agent has no VM list. A VM that restarts
/// without state during an outage of the store gets the state from these peers.
fn record_puller(agent: &Agent, address: IpAddr, pull: &PullRequest) {
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
    let mut pullers = lock(&agent.recent_pullers);
    pullers.retain(|known: &VmRecord| known.name != name);
    pullers.truncate(MAX_RECENT_PULLERS - 1);
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

/// The reply to a pull: the changes that the peer lacks, and the evidence.
fn pull_reply(agent: &Agent, pull: &PullRequest) -> PullReply {
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

/// The evidence of the region with the most recent confirmation.
fn newest_confirmation(ages: Vec<RegionAges>) -> Option<RegionAges> {
    let confirmed = ages.into_iter().filter(|ages| ages.confirmed.is_some());
    confirmed.min_by_key(|ages| ages.confirmed.map(|(age, _)| age))
}

fn status(agent: &Agent) -> StatusReply {
    let age = lock(&agent.reported_at).map(|at| at.elapsed());
    let is_connected = age.is_some_and(|age| age <= ENTRY_REPORT_TIMEOUT);
    let report = lock(&agent.report);
    StatusReply {
        vm: agent.settings.vm.to_string(),
        agent_revision: *agent.revision.borrow(),
        entry: report.clone().filter(|_| is_connected),
        traffic: Some(traffic::total()),
    }
}

impl From<RegionAges> for RegionEvidence {
    fn from(ages: RegionAges) -> Self {
        let millis = |age: Duration| age.as_millis().try_into().unwrap_or(u32::MAX);
        Self {
            region: ages.region.to_string(),
            confirmed_age_ms: ages.confirmed.map(|(age, _)| millis(age)),
            received_age_ms: ages.last_received.map(millis),
            revision: ages.revision,
            confirmed_revision: ages.confirmed.map_or(0, |(_, revision)| revision),
            store_responded_age_ms: ages.store_responded.map(millis),
        }
    }
}

impl TryFrom<RegionEvidence> for RegionAges {
    type Error = filbertgrade_coord::names::NameError;

    fn try_from(evidence: RegionEvidence) -> Result<Self, Self::Error> {
        // The sender rounds ages down to whole milliseconds, so one is added:
        // evidence must never appear younger than it is.
        let age = |ms: u32| Duration::from_millis(u64::from(ms) + 1);
        Ok(Self {
            region: evidence.region.as_str().try_into()?,
            confirmed: evidence
                .confirmed_age_ms
                .map(|ms| (age(ms), evidence.confirmed_revision)),
            store_responded: evidence.store_responded_age_ms.map(age),
            last_received: evidence.received_age_ms.map(age),
            revision: evidence.revision,
        })
    }
}
