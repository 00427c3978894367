//! Signals that stop a daemon.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT, which stop a daemon gracefully.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// SIGHUP, which tells a daemon that its settings may have changed.
///
/// # Errors
///
/// Fails when the operating system refuses.
pub(crate) fn reload_signal() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

impl StopSignals {
    /// Receives the signals from now on, instead of being ended by them.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal.
    pub async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
