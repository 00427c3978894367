//! Links to the entry processes of the other VMs.

use std::net::SocketAddr;
use std::sync::RwLock;

use filbertgrade_coord::names::VmName;
use indexmap::IndexMap;

use crate::connection::PeerLink;
use crate::process::settings::VmSettings;
use crate::sync::{read, write};
use crate::version::InForce;

/// One link for each VM on the platform's list except this VM.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    settings: VmSettings,
    peers: RwLock<IndexMap<VmName, Peer>>,
}

#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    link: PeerLink,
}

impl PeerLinks {
    pub(crate) fn new(settings: VmSettings) -> Self {
        Self {
            settings,
            peers: RwLock::default(),
        }
    }

    /// Adds and removes links according to the platform's list of VMs. A VM
    /// that is leaving keeps its link, because loans may have to be returned to
    /// it.
    pub(crate) fn update(&self, view: &InForce) {
        let mut peers = write(&self.peers);
        let mut next = IndexMap::new();
        for vm in view.vms.values().filter(|vm| vm.name != self.settings.vm) {
            let address = SocketAddr::new(vm.address, self.settings.ports.entry_peer);
            let peer = match peers.get(&vm.name) {
                Some(peer) if peer.address == address => peer.clone(),
                _ => Peer {
                    address,
                    link: PeerLink::new(address, Some(self.settings.address)),
                },
            };
            next.insert(vm.name.clone(), peer);
        }
        *peers = next;
    }

    /// Returns the link to `vm`, or `None` when it is not on the platform's
    /// list.
    pub(crate) fn link_to(&self, vm: &VmName) -> Option<PeerLink> {
        let peers = read(&self.peers);
        peers.get(vm).map(|peer| peer.link.clone())
    }

    /// Returns up to `count` peers. Successive values of `turn` go through all
    /// peers in order.
    pub(crate) fn next_peers(&self, count: usize, turn: usize) -> Vec<(VmName, PeerLink)> {
        let peers = read(&self.peers);
        let total = peers.len();
        (0..count.min(total))
            .filter_map(|n| peers.get_index((turn * count + n) % total))
            .map(|(vm, peer)| (vm.clone(), peer.link.clone()))
            .collect()
    }
}
