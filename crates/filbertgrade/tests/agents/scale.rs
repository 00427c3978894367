//! Test of the size of messages between agents as the fleet grows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filbertgrade::connection::PeerLink;
use filbertgrade::wire::{Body, PullReply, PullRequest};
use filbertgrade_standins::platform::VmEntry;
use prost::Message;

use crate::fleet::Fleet;

/// Number of regions of the listed VMs.
const REGIONS: usize = 20;

/// Guards against a reply to a pull that names each VM of the fleet, and
/// against replies that always hold the evidence of all regions. In a large
/// fleet, either would exceed the control traffic that a node may use.
#[tokio::test(flavor = "multi_thread")]
async fn reply_without_changes_does_not_grow_with_the_number_of_vms() {
    let fleet = Fleet::start(1).await;
    let vm = &fleet.vms[0];
    let link = PeerLink::new(SocketAddr::new(vm.address, 7082), None);
    list_vms(&fleet, 0..10);
    let few = current_reply(&fleet, &link, false).await;
    let newest_of_few = current_reply(&fleet, &link, true).await;
    list_vms(&fleet, 10..400);
    let many = current_reply(&fleet, &link, false).await;
    let newest_of_many = current_reply(&fleet, &link, true).await;

    // Ages and revisions are encoded with variable length.
    let slack = 16 * (many.regions.len() + 1);
    assert!(many.encoded_len() <= few.encoded_len() + slack);
    for reply in [newest_of_few, newest_of_many] {
        assert_eq!(reply.regions.len(), 1);
        assert!(reply.regions[0].confirmed_age_ms.is_some());
        assert!(reply.encoded_len() <= 64, "{} bytes", reply.encoded_len());
    }
}

/// Adds the VMs with these numbers to the platform's list.
fn list_vms(fleet: &Fleet, numbers: std::ops::Range<usize>) {
    for n in numbers {
        fleet.platform.put_vm(&VmEntry {
            name: format!("listed-{n}"),
            // Nothing listens on this address, so pulls from these VMs fail.
            address: "127.62.0.1".to_owned(),
            region: format!("region-{}", n % REGIONS),
            failure_domain: format!("domain-{}", n % REGIONS),
            state: "live".to_owned(),
        });
    }
}

/// The reply to a pull by a peer that already holds the store's revision.
async fn current_reply(
    fleet: &Fleet,
    link: &PeerLink,
    newest_confirmation_only: bool,
) -> PullReply {
    let started = Instant::now();
    loop {
        let revision = fleet.platform.revision();
        let pull = PullRequest {
            vm: "requester".to_owned(),
            revision,
            newest_confirmation_only,
            ..PullRequest::default()
        };
        if let Ok(Body::PullReply(reply)) = link
            .call(Body::PullRequest(pull), Duration::from_secs(1))
            .await
            && reply.revision >= revision
            && reply.delta.is_none()
            && reply
                .regions
                .iter()
                .any(|region| region.confirmed_age_ms.is_some())
        {
            return reply;
        }
        assert!(
            started.elapsed() < Duration::from_secs(10),
            "no reply without changes"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
