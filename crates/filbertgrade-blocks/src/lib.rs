//! A table from blocks of client IP addresses to sites, sized for millions of blocks.
//!
//! - [`BlockTable`] answers longest prefix look-ups.
//! - [`BlockDelta`] turns one version into the next.
//! - [`SharedBlockTable`] lets look-ups read while a newer table replaces the present one.

mod codec;
mod delta;
mod entry;
mod error;
mod page;
mod shared;
mod table;

pub use crate::delta::BlockDelta;
pub use crate::entry::{BlockEntry, SiteId};
pub use crate::error::{BuildError, DecodeError, DeltaError};
pub use crate::shared::SharedBlockTable;
pub use crate::table::{BlockTable, Version};
