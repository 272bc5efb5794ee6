//! Tests that the log queue is bounded and never blocks its writers.

use std::io;
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

use alderhaven_core::log_queue::LogQueue;

/// Output that blocks in each write until the test resumes it.
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

/// Guards against a stalled log reader that blocks requests: lines above the capacity are dropped, and
/// the log reports their number.
#[test]
fn queue_with_a_stalled_reader_does_not_block() {
    let (resume, resumed) = channel();
    let (written, batches) = channel();
    let output = StalledOutput {
        resume: resumed,
        written,
    };
    let mut queue = LogQueue::start(output).expect("the writer thread starts");
    for number in 0..10_000 {
        writeln!(queue, "{{\"event\":\"line\",\"number\":{number}}}")
            .expect("the line is accepted");
    }
    assert!(queue.dropped_lines() > 0);
    let mut text = Vec::new();
    while !String::from_utf8_lossy(&text).contains("log_lines_left_out") {
        resume.send(()).expect("the writer thread runs");
        text.extend(batches.recv().expect("the writer thread writes a batch"));
    }
}

/// Guards against errors in the writers of the log after its reader has closed it.
#[test]
fn queue_without_a_reader_is_no_error() {
    let (resume, resumed) = channel();
    let (written, batches) = channel();
    drop((resume, batches));
    let output = StalledOutput {
        resume: resumed,
        written,
    };
    let mut queue = LogQueue::start(output).expect("the writer thread starts");
    for _ in 0..10_000 {
        writeln!(queue, "{{}}").expect("the line is accepted");
    }
}
