//! Bounded queue that keeps a slow reader of the log from blocking requests.
//!
//! A write to a full pipe blocks. Log lines therefore go into a queue, which a thread writes out in
//! batches. When the queue is full, lines are dropped and counted.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::thread::Thread;
use std::time::Duration;

/// Capacity of the queue in lines; about a megabyte at 300 bytes per line.
const MAX_QUEUED_LINES: usize = 4_096;

/// Size at which a batch takes no further lines.
const BATCH_BYTES: usize = 32 << 10;

/// How long the first line of a batch waits for further lines, to save system calls.
const BATCH_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of checks of the queue by [`LogQueue::wait_until_written`].
const MAX_DRAIN_POLLS: u32 = 25;
/// The pause between two of these checks.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Writer that queues whole lines without blocking. Clones share the queue.
#[derive(Clone, Debug)]
pub struct LogQueue {
    lines: SyncSender<Vec<u8>>,
    dropped_lines: Arc<AtomicU64>,
    queued_lines: Arc<AtomicU64>,
    writer: Thread,
    partial_line: Vec<u8>,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let queued_lines = Arc::new(AtomicU64::new(0));
        let (writer_dropped, writer_queued) =
            (Arc::clone(&dropped_lines), Arc::clone(&queued_lines));
        let writer = move || write_batches(&receiver, output, &writer_dropped, &writer_queued);
        let writer = thread::Builder::new()
            .name("log".to_owned())
            .spawn(writer)?;
        Ok(Self {
            lines: sender,
            dropped_lines,
            queued_lines,
            writer: writer.thread().clone(),
            partial_line: Vec::new(),
        })
    }

    /// Blocks until all queued lines are written, for at most half a second.
    ///
    /// The bound lets a process exit while the reader of its log is stalled.
    pub fn wait_until_written(&self) {
        for _ in 0..MAX_DRAIN_POLLS {
            if self.queued_lines.load(Ordering::Relaxed) == 0 {
                return;
            }
            // Ends the wait for further lines.
            self.writer.unpark();
            thread::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Returns the number of dropped lines that no batch has reported yet.
    #[must_use]
    pub fn dropped_lines(&self) -> u64 {
        self.dropped_lines.load(Ordering::Relaxed)
    }
}

impl Write for LogQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial_line.extend_from_slice(bytes);
        if self.partial_line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial_line);
            self.queued_lines.fetch_add(1, Ordering::Relaxed);
            if self.lines.try_send(line).is_err() {
                self.queued_lines.fetch_sub(1, Ordering::Relaxed);
                self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes batches until all clones of the queue are dropped or a write fails.
fn write_batches(
    lines: &Receiver<Vec<u8>>,
    mut output: impl Write,
    dropped_lines: &AtomicU64,
    queued_lines: &AtomicU64,
) {
    while let Ok(first) = lines.recv() {
        thread::park_timeout(BATCH_DELAY);
        let mut batch = first;
        let mut count = 1;
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else {
                break;
            };
            batch.extend_from_slice(&line);
            count += 1;
        }
        let dropped = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let event_line = format!(
                "{{\"event\":\"log_lines_left_out\",\"reason\":\"queue_full\",\"lines\":{dropped}}}\n"
            );
            batch.extend_from_slice(event_line.as_bytes());
        }
        let result = output.write_all(&batch).and_then(|()| output.flush());
        queued_lines.fetch_sub(count, Ordering::Relaxed);
        // The reader closed the log, so the error can't be reported there.
        if result.is_err() {
            return;
        }
    }
}
