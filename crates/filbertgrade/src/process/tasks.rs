//! Counts running tasks, so that a stopping process can wait for them, and watches over
//! those that a process cannot work without.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures::FutureExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::logfmt;

/// In a debug build, the vital task of this name panics a while after its start.
const PANIC_VARIABLE: &str = "FILBERTGRADE_PANIC_TASK";

/// How long after its start.
const PANIC_DELAY: Duration = Duration::from_secs(2);

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

/// Spawns the tasks that a process cannot work without. When one of them panics, the
/// process must stop: it would otherwise go on with what the task has left behind,
/// which gets older and older. Clones share the tasks.
#[derive(Clone, Debug)]
pub(crate) struct VitalTasks {
    /// Name of the task that panicked first.
    panicked: watch::Sender<Option<&'static str>>,
}

/// A vital task has panicked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the task {0} has panicked")]
pub struct TaskPanicked(&'static str);

impl Default for VitalTasks {
    fn default() -> Self {
        Self {
            panicked: watch::Sender::new(None),
        }
    }
}

impl VitalTasks {
    /// Spawns a task. It may end, but not by a panic.
    pub(crate) fn spawn(
        &self,
        name: &'static str,
        work: impl Future<Output = ()> + Send + 'static,
    ) {
        let panicked = self.panicked.clone();
        tokio::spawn(async move {
            let work = async {
                tokio::select! {
                    () = work => {}
                    () = panic_if_requested(name) => {}
                }
            };
            // Nothing that the panic may have left half done is used further, because
            // the process stops.
            if let Err(panic) = AssertUnwindSafe(work).catch_unwind().await {
                let error = logfmt::value(panic_message(&*panic));
                log::error!("event=task_panicked task={name} error={error}");
                panicked.send_modify(|first| *first = first.or(Some(name)));
            }
        });
    }

    /// Resolves once a task has panicked.
    pub(crate) async fn panicked(&self) {
        // The sender lives as long as `self`, so the wait cannot fail.
        let _ = self.panicked.subscribe().wait_for(Option::is_some).await;
    }

    /// Returns an error if a task has panicked.
    pub(crate) fn check(&self) -> Result<(), TaskPanicked> {
        match *self.panicked.borrow() {
            Some(name) => Err(TaskPanicked(name)),
            None => Ok(()),
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let string = panic.downcast_ref::<String>().map(String::as_str);
    text.or(string).unwrap_or("unknown")
}

/// Panics if [`PANIC_VARIABLE`] has this name; never resolves otherwise.
async fn panic_if_requested(name: &str) {
    if cfg!(debug_assertions) && std::env::var(PANIC_VARIABLE).is_ok_and(|task| task == name) {
        tokio::time::sleep(PANIC_DELAY).await;
        panic!("requested by {PANIC_VARIABLE}");
    }
    std::future::pending::<()>().await;
}
