//! VMs as the platform lists them.

use std::net::IpAddr;

use filbertgrade_coord::names::{FailureDomainName, RegionName, VmName};
use serde::{Deserialize, Serialize};

/// One VM of the platform's list, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmRecord {
    /// Name, unique to this VM; a replaced VM gets another one.
    pub name: VmName,
    /// IP address.
    pub address: IpAddr,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub failure_domain: FailureDomainName,
    /// Whether the VM is about to leave.
    pub state: VmState,
}

/// Whether a VM is about to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM stays.
    Live,
    /// The VM will be stopped.
    Leaving,
}

/// A VM as the platform stores it, under `vms/<name>`.
#[derive(Debug, Serialize, Deserialize)]
struct VmFile {
    name: String,
    address: IpAddr,
    region: String,
    failure_domain: String,
    state: VmState,
}

impl VmRecord {
    /// Reads a record of the platform's list; `None` when it is malformed.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice::<VmFile>(value)
            .ok()?
            .try_into()
            .ok()
    }

    /// The record as the platform stores it.
    #[must_use]
    pub fn encode(&self) -> String {
        serde_json::to_string(&VmFile::from(self)).unwrap_or_default()
    }

    /// The VM stays.
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
