//! Receives state from the agent of this VM and keeps the state in force
//! current.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use filbertgrade_coord::versioned::{ApplyOutcome, VersionedMap};

use super::Entry;
use crate::connection::PeerLink;
use crate::logfmt;
use crate::version::{InForce, IncomingDelta};
use crate::wire::{Body, EntryReport, Feed, FeedRequest};

/// Timeout for one reply of the agent. The agent replies immediately when it
/// has newer state, otherwise when its state changes, and at the latest after
/// [`crate::process::agent::FEED_WAIT`].
const FEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay after a failed call, to limit the cost of retries while the agent is
/// down.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Requests state from the agent in an endless loop.
pub(crate) async fn follow_agent(entry: Arc<Entry>) {
    let settings = &entry.settings;
    let address = SocketAddr::new(settings.address, settings.ports.agent_peer);
    let link = PeerLink::new(address, Some(settings.address));
    let mut objects = VersionedMap::new(0);
    let mut incoming = IncomingDelta::default();
    loop {
        let sent_at = Instant::now();
        let request = FeedRequest {
            revision: objects.revision(),
            resume: incoming.next_page_request(),
        };
        match link.call(Body::FeedRequest(request), FEED_TIMEOUT).await {
            Ok(Body::Feed(feed)) => {
                apply_feed(&entry, &mut objects, &mut incoming, feed, sent_at);
                let _ = link.notify(Body::EntryReport(report(&entry))).await;
            }
            Ok(_) => tokio::time::sleep(RETRY_DELAY).await,
            Err(error) => {
                log::warn!("event=feed_failed error={}", logfmt::value(&error));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply_feed(
    entry: &Entry,
    objects: &mut VersionedMap<Bytes>,
    incoming: &mut IncomingDelta,
    feed: Feed,
    sent_at: Instant,
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
        // The validity refers to the agent's revision, so it does not apply
        // while this entry holds an older one.
        Some(ms) if objects.revision() >= feed.revision => {
            Some(sent_at + Duration::from_millis(ms.into()))
        }
        // Otherwise the limit of an earlier reply stays valid.
        _ => **entry.valid_until.load(),
    };
    entry.valid_until.store(Arc::new(until));
    entry.admission.update(&entry.view(), until);
}

/// Brings a revision into force. When it changed no objects, only the revision
/// number of the view is updated.
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

fn report(entry: &Entry) -> EntryReport {
    let view = entry.view();
    EntryReport {
        revision: view.revision,
        share_table_version: entry.admission.version_in_effect(),
        config_version: view.config_version,
    }
}
