//! Which region a client is closest to.

use std::net::IpAddr;

use filbertgrade_blocks::{BlockEntry, BlockTable, BuildError, SiteId, Version};
use filbertgrade_coord::names::RegionName;

use super::Config;

/// The client blocks of one configuration version, for look-ups by address.
#[derive(Debug)]
pub(crate) struct ClientTable {
    blocks: BlockTable,
    /// Regions by the site number that the table holds for them.
    regions: Vec<RegionName>,
}

impl ClientTable {
    /// Builds the table of a configuration.
    ///
    /// # Errors
    ///
    /// Fails on a repeated block or one with host bits. A checked
    /// configuration has neither.
    pub(crate) fn build(version: u64, config: &Config) -> Result<Self, BuildError> {
        let regions: Vec<RegionName> = config.regions.keys().cloned().collect();
        let entries: Vec<BlockEntry> = config
            .client_blocks
            .iter()
            .filter_map(|(block, region)| {
                let site = config.regions.get_index_of(region)?;
                Some(BlockEntry {
                    prefix: *block,
                    site: u16::try_from(site).map_or(SiteId::RESERVED, SiteId),
                })
            })
            .collect();
        Ok(Self {
            blocks: BlockTable::build(Version(version), &entries)?,
            regions,
        })
    }

    /// The region of the longest block that covers the client.
    pub(crate) fn region_of(&self, client: IpAddr) -> Option<&RegionName> {
        let site = self.blocks.lookup(client.to_canonical())?;
        self.regions.get(usize::from(site.0))
    }
}
