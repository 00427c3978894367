//! A table from blocks of client IP addresses to sites, designed for millions of blocks.
//!
//! - [`BlockTable`] finds the site of an address by longest prefix match.
//! - [`BlockDelta`] turns one version into the next.
//! - [`SharedBlockTable`] replaces the current table while lookups read it.
//! - [`EncodedTable`] is a whole copy of a table: a [`Manifest`] and chunks identified by their
//!   SHA-256.
//! - [`FetchPlan`] decides what a new VM fetches from which peer within a byte budget, and
//!   [`PartialTable`] serves lookups from the chunks received so far.
//!
//! ```
//! use filbertgrade_blocks::{BlockEntry, BlockTable, SiteId, Version};
//!
//! let blocks = [("198.51.100.0/24", 1), ("198.51.100.128/25", 2)];
//! let entries: Vec<BlockEntry> = blocks
//!     .iter()
//!     .map(|&(prefix, site)| BlockEntry { prefix: prefix.parse().unwrap(), site: SiteId(site) })
//!     .collect();
//! let table = BlockTable::build(Version(1), &entries)?;
//! assert_eq!(table.lookup("198.51.100.200".parse().unwrap()), Some(SiteId(2)));
//! assert_eq!(table.lookup("203.0.113.1".parse().unwrap()), None);
//! # Ok::<(), filbertgrade_blocks::BuildError>(())
//! ```

mod chunk;
mod codec;
mod delta;
mod entry;
mod error;
mod fetch;
mod page;
mod partial;
mod shared;
mod table;

pub use crate::chunk::{Chunk, ChunkId, ChunkInfo, EncodedTable, MAX_CHUNK_BYTES, Manifest};
pub use crate::delta::BlockDelta;
pub use crate::entry::{BlockEntry, SiteId};
pub use crate::error::{BuildError, DecodeError, DeltaError};
pub use crate::fetch::{FetchConfig, FetchPlan, FetchStep, PeerId, PieceRequest, ReceiveOutcome};
pub use crate::partial::{DefaultCause, DefaultOrder, LookupResult, PartialTable, SiteSelection};
pub use crate::shared::SharedBlockTable;
pub use crate::table::{BlockTable, Version};
