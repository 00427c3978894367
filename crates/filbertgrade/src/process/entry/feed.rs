//! Follows the agent of the own VM and keeps the state in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::versioned::{ApplyOutcome, VersionedMap};

use super::Entry;
use crate::connection::PeerLink;
use crate::logfmt;
use crate::version::{InForce, IncomingDelta};
use crate::wire::{Body, Feed, Hello, Report};

/// Time for one answer of the agent, which answers at once or when its state
/// changes, at the latest after [`crate::process::agent::FEED_WAIT`].
const FEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed call, so that an absent agent costs little.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Asks the agent for state again and again.
pub(crate) async fn follow_agent(entry: Arc<Entry>) {
    let settings = &entry.settings;
    let address = SocketAddr::new(settings.address, settings.ports.agent_peer);
    let link = PeerLink::new(address, Some(settings.address));
    let mut objects = VersionedMap::new(0);
    let mut incoming = IncomingDelta::default();
    loop {
        let sent = Instant::now();
        let hello = Hello {
            revision: objects.revision(),
            resume: incoming.next_page_request(),
        };
        match link.call(Body::Hello(hello), FEED_TIMEOUT).await {
            Ok(Body::Feed(feed)) => {
                take_feed(&entry, &mut objects, &mut incoming, feed, sent);
                let _ = link.notify(Body::Report(report(&entry))).await;
            }
            Ok(_) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(error) => {
                log::warn!("event=feed_failed error={}", logfmt::value(&error));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn take_feed(
    entry: &Entry,
    objects: &mut VersionedMap<Bytes>,
    incoming: &mut IncomingDelta,
    feed: Feed,
    sent: Instant,
) {
    match feed.delta.map(|page| incoming.add_page(page)) {
        Some(Ok(Some(delta))) => match crate::version::apply_delta(objects, delta) {
            Ok(ApplyOutcome::Advanced(names)) => put_in_force(entry, objects, &names),
            Ok(ApplyOutcome::Stale | ApplyOutcome::Gap { .. }) => {}
            Err(error) => log::warn!("event=feed_rejected error={}", logfmt::value(&error)),
        },
        Some(Err(error)) => log::warn!("event=feed_rejected error={}", logfmt::value(&error)),
        Some(Ok(None)) | None => {}
    }
    let until = match feed.valid_ms {
        Some(0) => None,
        // The agent vouches for its own revision, not for an older one here.
        Some(ms) if objects.revision() >= feed.revision => {
            Some(sent + Duration::from_millis(ms.into()))
        }
        // What an earlier answer of the agent proved stays true.
        _ => **entry.valid_until.load(),
    };
    entry.valid_until.store(Arc::new(until));
    entry.admission.update(&entry.view(), until);
}

/// A revision without changed objects needs no new view besides its number.
fn put_in_force(entry: &Entry, objects: &VersionedMap<Bytes>, names: &[Arc<str>]) {
    let previous = entry.in_force.load();
    let view = if names.is_empty() {
        previous.at_revision(objects.revision())
    } else {
        let view = InForce::build(objects, &previous);
        log::info!(
            "event=in_force revision={} config_version={}",
            view.revision,
            view.config_version
        );
        view
    };
    entry.links.update(&view);
    entry.in_force.store(Arc::new(view));
}

fn report(entry: &Entry) -> Report {
    let view = entry.view();
    Report {
        revision: view.revision,
        share_table_version: entry.admission.version_in_effect(),
        config_version: view.config_version,
    }
}
