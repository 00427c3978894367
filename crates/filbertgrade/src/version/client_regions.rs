//! Maps client addresses to the closest region.

use std::net::IpAddr;

use filbertgrade_blocks::{BlockEntry, BlockTable, BuildError, SiteId, Version};
use filbertgrade_coord::names::RegionName;

use super::Config;

/// Longest-prefix table of the client blocks of one configuration version.
#[derive(Debug)]
pub(crate) struct ClientRegionTable {
    blocks: BlockTable,
    /// Regions, indexed by the site number that `blocks` returns.
    regions: Vec<RegionName>,
}

impl ClientRegionTable {
    /// Builds the table from a configuration.
    ///
    /// # Errors
    ///
    /// Fails if a block is repeated or has host bits set. A validated
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

    /// Returns the region of the longest block that contains the client, or
    /// `None` if no block does.
    pub(crate) fn region_of(&self, client: IpAddr) -> Option<&RegionName> {
        let site = self.blocks.lookup(client.to_canonical())?;
        self.regions.get(usize::from(site.0))
    }
}
