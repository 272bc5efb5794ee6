//! The log's queue: bounded, and never waited for.

use std::io;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

use alderhaven_core::log_queue::LogQueue;

/// An output whose first write takes until the test lets it go on.
struct StalledOutput {
    resume: Receiver<()>,
    written: Sender<Vec<u8>>,
}

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.resume.recv().map_err(io::Error::other)?;
        self.written
            .send(bytes.to_vec())
            .map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The reader of the log stalls while ten thousand lines come. Each of them is taken at once, which is
/// what a request must not wait for; what the queue can't hold is left out, and the log says how much.
#[test]
fn queue_with_a_stalled_reader_takes_all_lines_at_once() {
    let (resume, resumed) = channel();
    let (written, batches) = channel();
    let output = StalledOutput {
        resume: resumed,
        written,
    };
    let mut queue = LogQueue::start(output).expect("a queue");
    for number in 0..10_000 {
        writeln!(queue, "{{\"event\":\"line\",\"number\":{number}}}").expect("it is taken");
    }
    assert!(queue.dropped_lines() > 0);
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("log_lines_left_out") {
        resume.send(()).expect("the writer lives");
        text.extend(batches.recv().expect("the writer writes"));
    }
}

/// The reader of the log is gone. Logging goes on without an error.
#[test]
fn queue_without_a_reader_is_no_error() {
    let (resume, resumed) = channel();
    let (written, batches) = channel();
    drop((resume, batches));
    let output = StalledOutput {
        resume: resumed,
        written,
    };
    let mut queue = LogQueue::start(output).expect("a queue");
    for _ in 0..10_000 {
        writeln!(queue, "{{}}").expect("it is taken");
    }
}
