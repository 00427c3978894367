//! One node of each region follows the store; the others ask it, or a node
//! that asks it.
//!
//! Calls to the store are counted and paid for, so they must not grow with the
//! fleet. A node whose relays fail asks the store itself.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filbertgrade_coord::steering::store_health::Outage;
use filbertgrade_platform::objects::Kind;
use filbertgrade_platform::store::{Event, Object};
use tokio::net::TcpListener;

use super::Node;
use super::copy::Update;
use crate::connection::{PeerLink, serve_frames};
use crate::logfmt;
use crate::sync::lock;
use crate::wire::{Body, StoreEvent, StorePull, StoreUpdate};

/// Age of a relay's newest confirmation of the configuration beyond which it
/// has lost the store. It is asked for more often than that.
const MOST_AGE: Duration = Duration::from_millis(1_600);

impl From<Event> for StoreEvent {
    fn from(event: Event) -> Self {
        match event {
            Event::Written(object) => Self {
                removed: false,
                revision: object.revision,
                spec: object.spec.to_string().into(),
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

impl TryFrom<StoreEvent> for Event {
    type Error = serde_json::Error;

    fn try_from(wire: StoreEvent) -> Result<Self, serde_json::Error> {
        if wire.removed {
            return Ok(Self::Removed(wire.name));
        }
        Ok(Self::Written(Object {
            name: wire.name,
            revision: wire.revision,
            spec: serde_json::from_slice(&wire.spec)?,
        }))
    }
}

/// Why a relay was of no use.
#[derive(Debug, thiserror::Error)]
pub(super) enum RelayError {
    /// It cannot be reached or is silent.
    #[error(transparent)]
    Link(#[from] crate::connection::LinkError),
    /// An object in its answer is malformed.
    #[error("malformed object: {0}")]
    Object(#[from] serde_json::Error),
    /// It has no recent copy.
    #[error("no recent copy")]
    Unavailable,
}

fn kind_number(kind: Kind) -> u32 {
    match kind {
        Kind::Configuration => 1,
        Kind::Endpoints => 2,
        Kind::Evacuations => 3,
        Kind::Vms => 4,
    }
}

fn kind_of(number: u32) -> Option<Kind> {
    [
        Kind::Configuration,
        Kind::Endpoints,
        Kind::Evacuations,
        Kind::Vms,
    ]
    .into_iter()
    .find(|kind| kind_number(*kind) == number)
}

/// Answers the nodes that ask this one instead of the store.
pub(super) async fn serve(node: Arc<Node>, listener: TcpListener) {
    serve_frames(listener, move |_peer, body| {
        let node = Arc::clone(&node);
        async move {
            let Body::StorePull(pull) = body else {
                return None;
            };
            let update = answer(&node, &pull).await.unwrap_or(StoreUpdate {
                unavailable: true,
                ..StoreUpdate::default()
            });
            Some(Body::StoreUpdate(update))
        }
    })
    .await;
}

async fn answer(node: &Node, pull: &StorePull) -> Option<StoreUpdate> {
    let began = Instant::now();
    let kind = kind_of(pull.kind)?;
    let mut changed = node.copies.with(kind, |copy| copy.subscribe());
    let ahead = |node: &Node| {
        let revision = node.copies.with(kind, |copy| copy.revision());
        pull.revision.is_none() || revision > pull.revision
    };
    let update = |node: &Node| node.copies.with(kind, |copy| copy.since(pull.revision));
    let deadline = began + Duration::from_millis(u64::from(pull.wait_ms));
    let mut reply = update(node)?;
    let known_confirmation = reply.confirmed_at;
    while reply.events.is_empty() || !ahead(node) {
        // A confirmation is passed on at once, so that it does not age by a
        // wait on each node that it passes.
        if kind == Kind::Configuration && reply.confirmed_at > known_confirmation {
            break;
        }
        let now = Instant::now();
        // Who asks must not wait for a relay that has lost the store.
        let useless_at = store_confirmed_at(node)? + MOST_AGE;
        if now >= deadline || now >= useless_at {
            break;
        }
        let until = deadline.min(useless_at);
        let _ = tokio::time::timeout_at(until.into(), changed.changed()).await;
        reply = update(node)?;
    }
    let now = Instant::now();
    let store_age = now.saturating_duration_since(store_confirmed_at(node)?);
    let age = now.saturating_duration_since(reply.confirmed_at?);
    let outage = lock(&node.store_health).last_outage();
    let ms = |at: Instant| millis(now.saturating_duration_since(at));
    Some(StoreUpdate {
        unavailable: store_age >= MOST_AGE,
        snapshot: reply.whole,
        revision: reply.revision,
        events: reply.events.into_iter().map(StoreEvent::from).collect(),
        hold_ms: millis(now.saturating_duration_since(began)),
        age_ms: millis(age),
        outage_began_ms: outage.map(|outage| ms(outage.started_at)),
        outage_ended_ms: outage.map(|outage| ms(outage.ended_at)),
    })
}

/// When the store last confirmed the configuration, which is asked for most
/// often, so that its loss shows there first.
fn store_confirmed_at(node: &Node) -> Option<Instant> {
    node.copies
        .with(Kind::Configuration, |copy| copy.confirmed_at())
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Asks a relay for what is newer than `revision`.
pub(super) async fn pull(
    node: &Node,
    link: &PeerLink,
    kind: Kind,
    revision: Option<u64>,
    wait: Duration,
    within: Duration,
) -> Result<Update, RelayError> {
    let sent_at = Instant::now();
    let pull = StorePull {
        kind: kind_number(kind),
        revision,
        wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
    };
    let reply = link.call(Body::StorePull(pull), wait + within).await?;
    let wire = match reply {
        Body::StoreUpdate(wire) if !wire.unavailable => wire,
        _ => return Err(RelayError::Unavailable),
    };
    let now = Instant::now();
    let ago = |ms: u64| now.checked_sub(Duration::from_millis(ms));
    let outage = wire
        .outage_began_ms
        .and_then(ago)
        .zip(wire.outage_ended_ms.and_then(ago));
    if let Some((started_at, ended_at)) = outage {
        lock(&node.store_health).adopt_outage(Outage {
            started_at,
            ended_at,
        });
    }
    // The relay spoke not before it had held the question.
    let spoke_at = sent_at + Duration::from_millis(wire.hold_ms);
    let events: Result<Vec<Event>, _> = wire.events.into_iter().map(Event::try_from).collect();
    Ok(Update {
        whole: wire.snapshot,
        events: events?,
        revision: wire.revision,
        confirmed_at: spoke_at.checked_sub(Duration::from_millis(wire.age_ms)),
        unreadable: 0,
    })
}

/// Logs that a relay was of no use.
pub(super) fn note_failure(kind: Kind, error: &RelayError) {
    log::info!(
        "event=relay_failed kind={} error={}",
        kind.as_str(),
        logfmt::value(error)
    );
}
