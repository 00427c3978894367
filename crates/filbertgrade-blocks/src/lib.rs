//! A table from blocks of client IP addresses to sites, sized for millions of blocks.
//!
//! - [`BlockTable`] answers longest prefix look-ups.
//! - [`BlockDelta`] turns one version into the next.
//! - [`SharedBlockTable`] lets look-ups read while a newer table replaces the present one.
//! - [`EncodedTable`] is a whole copy as a [`Manifest`] and chunks named by their SHA-256.
//! - [`FetchPlan`] decides what a new VM fetches from which peer within a byte budget, and
//!   [`PartialTable`] answers look-ups from the chunks that have arrived.
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
pub use crate::fetch::{FetchConfig, FetchPlan, FetchStep, PeerId, PieceRequest, Received};
pub use crate::partial::{Answer, DefaultCause, DefaultOrder, Lookup, PartialTable};
pub use crate::shared::SharedBlockTable;
pub use crate::table::{BlockTable, Version};
