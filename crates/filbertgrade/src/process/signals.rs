//! Signals that a daemon handles.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receiver of SIGTERM and SIGINT, on which a daemon stops gracefully.
#[derive(Debug)]
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

/// Returns the stream of SIGHUP signals, on which a daemon reads its settings
/// again.
///
/// # Errors
///
/// Fails when the operating system refuses to register a signal handler.
pub(crate) fn reload_signal() -> std::io::Result<Signal> {
    signal(SignalKind::hangup())
}

impl StopSignals {
    /// Registers handlers, which replace the default action of ending the
    /// process.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses to register a signal handler.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits until one of the two signals is received.
    pub async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
