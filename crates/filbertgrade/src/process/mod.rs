//! What lives for a process: settings, the daemons and the operators' commands.

pub mod agent;
pub mod command;
pub mod entry;
pub mod logs;
pub mod node;
pub(crate) mod operator;
pub mod settings;
pub mod signals;
pub(crate) mod tasks;
