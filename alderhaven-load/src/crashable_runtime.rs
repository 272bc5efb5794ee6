//! A runtime of its own for a node that is to die: its end takes all tasks and connections with it,
//! as the kernel does with those of a killed process.

use std::future::Future;
use std::io;

use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;

/// The threads of a node of its own.
const WORKER_THREADS: usize = 2;

/// A `DoomedRuntime` ends everything on it when it is dropped.
#[derive(Debug)]
pub struct CrashableRuntime {
    runtime: Option<Runtime>,
}

impl CrashableRuntime {
    /// Starts a runtime.
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

    /// Runs a task on the runtime.
    ///
    /// # Panics
    /// Never: the runtime is there until the drop.
    pub fn spawn<F>(&self, task: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let runtime = self.runtime.as_ref().expect("it is there until the drop");
        runtime.spawn(task)
    }
}

impl Drop for CrashableRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            // A plain drop would block, which a task must not.
            runtime.shutdown_background();
        }
    }
}
