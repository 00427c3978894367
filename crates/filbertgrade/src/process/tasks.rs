//! Counts running tasks, so that a stopping process can wait for them.

use std::future::Future;

use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A counter of running tasks. Clones share one count.
#[derive(Clone, Debug)]
pub struct Tasks {
    running: watch::Sender<usize>,
}

/// Keeps one task counted as running until it is dropped.
#[derive(Debug)]
pub struct TaskGuard {
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
    /// Counts one more running task, until the guard is dropped.
    #[must_use]
    pub fn start(&self) -> TaskGuard {
        self.running.send_modify(|n| *n += 1);
        TaskGuard {
            running: self.running.clone(),
        }
    }

    /// Number of tasks that are running.
    #[must_use]
    pub fn count(&self) -> usize {
        *self.running.borrow()
    }

    /// Spawns `work` on the runtime and counts it until it ends.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) -> JoinHandle<()> {
        let guard = self.start();
        tokio::spawn(async move {
            let _guard = guard;
            work.await;
        })
    }

    /// Waits until no task is running.
    pub async fn wait(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.running.subscribe().wait_for(|n| *n == 0).await;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.running.send_modify(|n| *n -= 1);
    }
}
