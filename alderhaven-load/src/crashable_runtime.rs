//! Runtime for a node that a scenario crashes. Dropping it ends all its tasks and connections, as a
//! kill of the process does.

use std::future::Future;
use std::io;

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

/// Worker threads of the node's runtime.
const WORKER_THREADS: usize = 2;

/// Tokio runtime that is shut down in the background when it is dropped.
#[derive(Debug)]
pub struct CrashableRuntime {
    runtime: Option<Runtime>,
}

impl CrashableRuntime {
    /// Starts the worker threads.
    ///
    /// # Errors
    /// The operating system's error where threads can't be started.
    pub fn new() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
        })
    }

    /// Spawns a task on this runtime.
    ///
    /// # Panics
    /// Never: the runtime exists until the drop.
    pub fn spawn<F>(&self, task: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let runtime = self
            .runtime
            .as_ref()
            .expect("the runtime exists until the drop");
        runtime.spawn(task)
    }
}

impl Drop for CrashableRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A plain drop blocks, which isn't allowed within an async task.
            runtime.shutdown_background();
        }
    }
}
