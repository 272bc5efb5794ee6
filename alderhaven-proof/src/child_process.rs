//! A child process with its ready line, its log and signals to it.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, mpsc};
use std::thread;

use eyre::{Result, WrapErr, eyre};
use rustix::process::{Pid, Signal, WaitOptions};
use serde_json::Value;

use crate::condition;
use crate::condition::CONDITION_TIMEOUT;

/// The most log lines that are kept per process; later lines are dropped.
const MAX_LOG_LINES: usize = 10_000;

/// A field that is in every log line but not in the ready line.
const LOG_LINE_FIELD: &str = "\"time_ms\"";

/// A child process, which is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    ready_message: Value,
    log: Arc<Mutex<Vec<String>>>,
}

impl ChildProcess {
    /// Starts a binary and waits for the JSON line on stdout with which it reports that it is
    /// ready.
    ///
    /// # Errors
    /// The process can't be started, ends first or prints no ready line in time. The error contains
    /// its log.
    pub fn start(name: &str, binary: &Path, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{name}: {} can't be started", binary.display()))?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| eyre!("{name}: stderr is not piped"))?;
        collect_stderr(stderr, Arc::clone(&log));
        let stdout = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("{name}: stdout is not piped"))?;
        let lines = collect_stdout(stdout, Arc::clone(&log));
        let mut process = Self {
            name: name.to_owned(),
            child,
            ready_message: Value::Null,
            log,
        };
        let line = lines.recv_timeout(CONDITION_TIMEOUT).map_err(|_| {
            let log = process.lock_log().join("\n");
            eyre!("{name} printed no ready line; its log:\n{log}")
        })?;
        process.ready_message =
            serde_json::from_str(&line).wrap_err_with(|| format!("{name}: {line}"))?;
        Ok(process)
    }

    /// Returns the name under which the process was started.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the parsed ready line.
    #[must_use]
    pub const fn ready_message(&self) -> &Value {
        &self.ready_message
    }

    /// Returns an address from the ready line.
    ///
    /// # Errors
    /// The ready line has no such field or its value is not an address.
    pub fn address(&self, field: &str) -> Result<SocketAddr> {
        let text = self.ready_message[field]
            .as_str()
            .ok_or_else(|| eyre!("{}: no `{field}` in {}", self.name, self.ready_message))?;
        Ok(text.parse()?)
    }

    /// Returns the log lines so far, of stdout and stderr.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.lock_log().clone()
    }

    /// Kills the process with SIGKILL and waits for its end, after which its sockets are closed.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP; its sockets stay open.
    ///
    /// Returns once all threads are stopped. Before that, a thread could still receive a message
    /// that the test sends next.
    ///
    /// # Errors
    /// The signal can't be sent, or the process ends instead.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let id = Pid::from_child(&self.child);
        let status_change = rustix::process::waitpid(Some(id), WaitOptions::UNTRACED)?;
        if status_change.is_some_and(|(_, status)| status.stopped()) {
            Ok(())
        } else {
            Err(eyre!("{} ended before it was suspended", self.name))
        }
    }

    /// Resumes a suspended process with SIGCONT.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Requests a planned stop with SIGTERM.
    ///
    /// # Errors
    /// The signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits for the end of the process and returns its status.
    ///
    /// # Errors
    /// The process has not ended in time.
    pub async fn await_exit(&mut self) -> Result<ExitStatus> {
        let description = format!("the end of {}", self.name);
        let child = &mut self.child;
        condition::until(&description, async || Ok(child.try_wait()?)).await
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        // Only `kill`, `await_exit` and `drop` reap the child. Callers send no signal after that,
        // so its id can't have been reused.
        rustix::process::kill_process(Pid::from_child(&self.child), signal)
            .wrap_err_with(|| format!("{}: {signal:?} can't be sent", self.name))
    }

    fn lock_log(&self) -> MutexGuard<'_, Vec<String>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ended_before = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Collects log lines from stdout, and sends the others, the ready line, to the returned receiver.
fn collect_stdout(
    stdout: impl Read + Send + 'static,
    log: Arc<Mutex<Vec<String>>>,
) -> Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        // The pipe is read to its end, so that the process never blocks on a full pipe.
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            if line.contains(LOG_LINE_FIELD) {
                append_log_line(&log, line);
            } else {
                let _later_line = sender.send(line);
            }
        }
    });
    lines
}

fn collect_stderr(stderr: impl Read + Send + 'static, log: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            append_log_line(&log, line);
        }
    });
}

fn append_log_line(log: &Mutex<Vec<String>>, line: String) {
    let mut log = log.lock().unwrap_or_else(PoisonError::into_inner);
    if log.len() < MAX_LOG_LINES {
        log.push(line);
    }
}
