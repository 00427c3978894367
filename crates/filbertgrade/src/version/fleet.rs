//! VM records of the platform's list.

use std::net::IpAddr;

use filbertgrade_coord::names::{FailureDomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

/// One VM of the platform's list, validated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRecord {
    /// Unique name; a replacement VM gets a new one.
    pub name: VmName,
    /// Address that its processes listen on; the ports are settings.
    pub address: IpAddr,
    /// Region that the VM runs in.
    pub region: RegionName,
    /// Failure domain of the region that the VM runs in.
    pub failure_domain: FailureDomainName,
    /// Whether the platform is about to stop the VM.
    pub state: VmState,
}

/// Whether the platform is about to stop a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM keeps running.
    Live,
    /// The VM is about to be stopped and accepts no new work.
    Leaving,
}

/// Stored form of a VM record, the object `vms/<name>`.
#[derive(Debug, Serialize, Deserialize)]
struct VmFile {
    name: String,
    address: IpAddr,
    region: String,
    failure_domain: String,
    state: VmState,
}

impl VmRecord {
    /// Decodes a stored record, or returns `None` if it is malformed.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice::<VmFile>(value)
            .ok()?
            .try_into()
            .ok()
    }

    /// Encodes the record in its stored form, JSON.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(&VmFile::from(self)).unwrap_or_default()
    }

    /// Returns whether the VM keeps running, that is, is not leaving.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state == VmState::Live
    }
}

impl TryFrom<VmFile> for VmRecord {
    type Error = filbertgrade_coord::names::NameError;

    fn try_from(file: VmFile) -> Result<Self, Self::Error> {
        Ok(Self {
            name: file.name.as_str().try_into()?,
            address: file.address,
            region: file.region.as_str().try_into()?,
            failure_domain: file.failure_domain.as_str().try_into()?,
            state: file.state,
        })
    }
}

impl From<&VmRecord> for VmFile {
    fn from(vm: &VmRecord) -> Self {
        Self {
            name: vm.name.to_string(),
            address: vm.address,
            region: vm.region.to_string(),
            failure_domain: vm.failure_domain.to_string(),
            state: vm.state,
        }
    }
}
