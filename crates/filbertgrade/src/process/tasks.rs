//! Background work that a stopping process waits for.

use std::future::Future;

use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Counts running tasks. Clones count together.
#[derive(Clone, Debug)]
pub struct Tasks {
    running: watch::Sender<usize>,
}

/// Counts as one running task until it is dropped.
#[derive(Debug)]
pub struct Running {
    running: watch::Sender<usize>,
}

impl Default for Tasks {
    fn default() -> Self {
        Self {
            running: watch::Sender::new(0),
        }
    }
}

impl Tasks {
    /// Counts one more task.
    #[must_use]
    pub fn begin(&self) -> Running {
        self.running.send_modify(|n| *n += 1);
        Running {
            running: self.running.clone(),
        }
    }

    /// Tasks that run now.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.running.borrow()
    }

    /// Runs `work` as a task of its own.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let running = self.begin();
        tokio::spawn(async move {
            let _running = running;
            work.await;
        })
    }

    /// Waits until no task runs.
    pub async fn wait(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.running.subscribe().wait_for(|n| *n == 0).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.running.send_modify(|n| *n -= 1);
    }
}
