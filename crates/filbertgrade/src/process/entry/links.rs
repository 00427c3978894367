//! Links to the entries of the other VMs.

use std::net::SocketAddr;
use std::sync::RwLock;

use filbertgrade_coord::names::VmName;
use indexmap::IndexMap;

use crate::connection::PeerLink;
use crate::process::settings::VmSettings;
use crate::sync::{read, write};
use crate::version::InForce;

/// One link for each VM of the platform's list but the own one.
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

    /// Follows the platform's list. A VM that is leaving keeps its link,
    /// because loans may have to be given back to it.
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

    /// The link to one VM.
    pub(crate) fn to(&self, vm: &VmName) -> Option<PeerLink> {
        let peers = read(&self.peers);
        peers.get(vm).map(|peer| peer.link.clone())
    }

    /// `count` peers, other ones with each `turn` until all had theirs.
    pub(crate) fn next_peers(&self, count: usize, turn: usize) -> Vec<(VmName, PeerLink)> {
        let peers = read(&self.peers);
        let total = peers.len();
        (0..count.min(total))
            .filter_map(|n| peers.get_index((turn * count + n) % total))
            .map(|(vm, peer)| (vm.clone(), peer.link.clone()))
            .collect()
    }
}
