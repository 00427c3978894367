//! The daemons and the operators' commands, with their settings, logs and
//! signals.

pub mod agent;
pub(crate) mod caller_io;
pub mod command;
pub mod entry;
pub mod logs;
pub mod node;
pub(crate) mod operator;
pub mod settings;
pub mod signals;
pub(crate) mod tasks;
