//! Relaying of store updates between the nodes of a region.
//!
//! One node of each region follows the store. Each of the others pulls updates
//! from its relay, which is that node or, in a large region, another one that
//! itself pulls from a relay. Calls to the store are counted and paid for, so
//! their number must not grow with the fleet. A node whose relays fail calls the
//! store itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::following::{AfterPullFailure, PullFailure};
use filbertgrade_coord::steering::store_health::Outage;
use filbertgrade_coord::steering::store_revision::StoreRevision;
use filbertgrade_platform::events::{Event, Object};
use filbertgrade_platform::objects::Kind;
use tokio::net::TcpListener;

use super::Node;
use super::copy::Update;
use crate::connection::{PeerLink, serve_frames};
use crate::logfmt;
use crate::sync::lock;
use crate::wire::{Body, StoreEvent, StorePull, StoreUpdate};

/// Age of a relay's last confirmation of the configuration from which the relay
/// counts as isolated from the store. The relay requests confirmations more
/// often than that.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(1_600);

impl From<Event> for StoreEvent {
    fn from(event: Event) -> Self {
        match event {
            Event::Written(object) => Self {
                removed: false,
                revision: object.revision,
                spec: object.spec,
                name: object.name,
            },
            Event::Removed(name) => Self {
                name,
                removed: true,
                ..Self::default()
            },
        }
    }
}

impl From<StoreEvent> for Event {
    fn from(wire: StoreEvent) -> Self {
        if wire.removed {
            return Self::Removed(wire.name);
        }
        Self::Written(Object {
            name: wire.name,
            revision: wire.revision,
            spec: wire.spec,
        })
    }
}

/// Why a pull from a relay failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum RelayError {
    /// The relay cannot be reached or did not reply in time.
    #[error(transparent)]
    Link(#[from] crate::connection::LinkError),
    /// The relay has no copy of the kind, or none that the store confirmed
    /// recently.
    #[error("the relay has no recent copy")]
    Unavailable,
}

impl RelayError {
    /// What the error says about the relay.
    pub(super) fn failure(&self) -> PullFailure {
        match self {
            Self::Link(_) => PullFailure::Connection,
            Self::Unavailable => PullFailure::NoRecentCopy,
        }
    }
}

/// Number of a kind in [`StorePull::kind`].
fn kind_number(kind: Kind) -> u32 {
    match kind {
        Kind::Configuration => 1,
        Kind::Endpoints => 2,
        Kind::Evacuations => 3,
        Kind::Vms => 4,
    }
}

/// Kind with this number; `None` for one that this version does not know.
fn kind_from_number(number: u32) -> Option<Kind> {
    [
        Kind::Configuration,
        Kind::Endpoints,
        Kind::Evacuations,
        Kind::Vms,
    ]
    .into_iter()
    .find(|kind| kind_number(*kind) == number)
}

/// Replies to the pulls of other nodes until the process ends.
pub(super) async fn serve_pulls(node: Arc<Node>, listener: TcpListener) {
    serve_frames(listener, move |_peer, body| {
        let node = Arc::clone(&node);
        async move {
            let Body::StorePull(pull) = body else {
                return None;
            };
            let update = reply_to_pull(&node, &pull).await.unwrap_or(StoreUpdate {
                unavailable: true,
                ..StoreUpdate::default()
            });
            Some(Body::StoreUpdate(update))
        }
    })
    .await;
}

/// Waits until this node has something newer than the requesting node, at most
/// for the time that the pull allows. Returns `None` when this node has no copy
/// of the kind, or does not know when the store confirmed its copies.
async fn reply_to_pull(node: &Node, pull: &StorePull) -> Option<StoreUpdate> {
    let received_at = Instant::now();
    let kind = kind_from_number(pull.kind)?;
    let mut changed = node.store_copy.with(kind, |copy| copy.subscribe());
    let own = node.store_copy.with(kind, |copy| copy.revision())?;
    let known = pull.revision.map(|number| StoreRevision {
        era: pull.era.unwrap_or(own.era),
        number,
    });
    let is_newer = |node: &Node| {
        let revision = node.store_copy.with(kind, |copy| copy.revision());
        known.is_none() || revision > known
    };
    let update = |node: &Node| node.store_copy.with(kind, |copy| copy.update_since(known));
    let deadline = received_at + Duration::from_millis(u64::from(pull.wait_ms));
    let mut reply = update(node)?;
    let first_confirmation = reply.confirmed_at;
    while reply.events.is_empty() || !is_newer(node) {
        // A new confirmation of the configuration is returned at once.
        // Otherwise it would age by up to one wait at each relay on its way.
        if kind == Kind::Configuration && reply.confirmed_at > first_confirmation {
            break;
        }
        let now = Instant::now();
        // The requesting node must not wait for a relay that cannot reach the
        // store, so the wait ends as soon as the confirmation is too old.
        let outdated_at = store_confirmed_at(node)? + MAX_CONFIRMATION_AGE;
        if now >= deadline || now >= outdated_at {
            break;
        }
        let until = deadline.min(outdated_at);
        let _ = tokio::time::timeout_at(until.into(), changed.changed()).await;
        reply = update(node)?;
    }
    if !is_newer(node) {
        // The requesting node may have a newer history than this one.
        reply.events.clear();
        reply.is_snapshot = false;
    }
    let now = Instant::now();
    let store_age = now.saturating_duration_since(store_confirmed_at(node)?);
    let age = now.saturating_duration_since(reply.confirmed_at?);
    let outage = lock(&node.store_health).last_outage();
    let ms = |at: Instant| millis(now.saturating_duration_since(at));
    Some(StoreUpdate {
        unavailable: store_age >= MAX_CONFIRMATION_AGE,
        snapshot: reply.is_snapshot,
        revision: reply.revision.number,
        era: Some(reply.revision.era),
        events: reply.events.into_iter().map(StoreEvent::from).collect(),
        hold_ms: millis(now.saturating_duration_since(received_at)),
        age_ms: millis(age),
        outage_started_ms: outage.map(|outage| ms(outage.started_at)),
        outage_ended_ms: outage.map(|outage| ms(outage.ended_at)),
    })
}

/// When the store last confirmed the configuration. This kind has the shortest
/// watches, so a failure of the store shows there first.
fn store_confirmed_at(node: &Node) -> Option<Instant> {
    node.store_copy
        .with(Kind::Configuration, |copy| copy.confirmed_at())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Pulls the changes after `revision` from a relay, or the whole kind when
/// `revision` is `None`.
///
/// The relay may hold the pull for up to `wait` until there is a change; the
/// call fails when the connection is silent for `silence` after that.
pub(super) async fn pull(
    node: &Node,
    link: &PeerLink,
    kind: Kind,
    revision: Option<StoreRevision>,
    wait: Duration,
    silence: Duration,
) -> Result<Update, RelayError> {
    let sent_at = Instant::now();
    let pull = StorePull {
        kind: kind_number(kind),
        revision: revision.map(|revision| revision.number),
        era: revision.map(|revision| revision.era),
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    };
    let body = Body::StorePull(pull);
    let reply = link.call_until_silent(body, wait, silence).await?;
    let wire = match reply {
        Body::StoreUpdate(wire) if !wire.unavailable => wire,
        _ => return Err(RelayError::Unavailable),
    };
    let now = Instant::now();
    let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
    let outage = wire
        .outage_started_ms
        .and_then(ago)
        .zip(wire.outage_ended_ms.and_then(ago));
    if let Some((started_at, ended_at)) = outage {
        lock(&node.store_health).adopt_outage(Outage {
            started_at,
            ended_at,
        });
    }
    // The relay held the pull for `hold_ms` before it computed the ages, so
    // this is the earliest instant that they can refer to.
    let replied_at = sent_at + Duration::from_millis(wire.hold_ms);
    let revision = StoreRevision {
        // A relay of an older build has the history that this node knows.
        era: wire.era.unwrap_or(revision.map_or(0, |known| known.era)),
        number: wire.revision,
    };
    Ok(Update {
        is_snapshot: wire.snapshot,
        events: wire.events.into_iter().map(Event::from).collect(),
        revision,
        confirmed_at: replied_at.checked_sub(Duration::from_millis(wire.age_ms)),
        unreadable: 0,
    })
}

/// Logs that a pull from a relay failed, and what follows.
pub(super) fn log_failure(kind: Kind, error: &RelayError, step: AfterPullFailure) {
    let next = match step {
        AfterPullFailure::Reconnect => "reconnect",
        AfterPullFailure::RetryLater => "retry_later",
        AfterPullFailure::Exclude => "exclude",
    };
    log::info!(
        "event=relay_failed kind={} next={next} error={}",
        kind.as_str(),
        logfmt::value(error)
    );
}
