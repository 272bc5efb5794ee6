//! A started process with its ready line, its log and the signals for it.

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

/// The most log lines that are kept of a process.
const MAX_LOG_LINES: usize = 10_000;

/// The field that every line of a log has, and the ready line has not.
const LOG_LINE_FIELD: &str = "\"time_ms\"";

/// A `ChildProcess` is a process that the proof started; it is killed on drop.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
    ready_message: Value,
    log: Arc<Mutex<Vec<String>>>,
}

impl ChildProcess {
    /// Starts a binary and waits for the JSON line that says it is ready.
    ///
    /// # Errors
    /// Where it can't be started, ends or prints no ready line in time; the log is in the error.
    pub fn start(name: &str, binary: &Path, arguments: &[String]) -> Result<Self> {
        let mut child = Command::new(binary)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .wrap_err_with(|| format!("{name}: {} can't be started", binary.display()))?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let stderr = child.stderr.take().ok_or_else(|| eyre!("no stderr"))?;
        collect_stderr(stderr, Arc::clone(&log));
        let stdout = child.stdout.take().ok_or_else(|| eyre!("no stdout"))?;
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

    /// Gets the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Gets the ready line.
    #[must_use]
    pub const fn ready_message(&self) -> &Value {
        &self.ready_message
    }

    /// Gets an address of the ready line.
    ///
    /// # Errors
    /// Where the line has no such address.
    pub fn address(&self, field: &str) -> Result<SocketAddr> {
        let text = self.ready_message[field]
            .as_str()
            .ok_or_else(|| eyre!("{}: no `{field}` in {}", self.name, self.ready_message))?;
        Ok(text.parse()?)
    }

    /// Gets the log lines so far.
    #[must_use]
    pub fn log(&self) -> Vec<String> {
        self.lock_log().clone()
    }

    /// Ends the process at once (SIGKILL), and waits until the system has closed its sockets.
    ///
    /// # Errors
    /// Where the signal can't be sent.
    pub fn kill(&mut self) -> Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Freezes the process (SIGSTOP); its sockets stay open.
    ///
    /// It returns once all threads stand still: the signal alone only asks for it, and a thread
    /// could still take a message that the proof sends next.
    ///
    /// # Errors
    /// Where the signal can't be sent, or the process ends instead.
    pub fn freeze(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        let id = Pid::from_child(&self.child);
        let status_change = rustix::process::waitpid(Some(id), WaitOptions::UNTRACED)?;
        if status_change.is_some_and(|(_, status)| status.stopped()) {
            Ok(())
        } else {
            Err(eyre!("{} ended before it was frozen", self.name))
        }
    }

    /// Lets a frozen process go on (SIGCONT).
    ///
    /// # Errors
    /// Where the signal can't be sent.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    /// Where the signal can't be sent.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has ended by itself.
    ///
    /// # Errors
    /// Where it goes on beyond the limit.
    pub async fn await_exit(&mut self) -> Result<ExitStatus> {
        let what = format!("the end of {}", self.name);
        let child = &mut self.child;
        condition::until(&what, async || Ok(child.try_wait()?)).await
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        // The child is not waited for before `kill` or `drop`, so its id is still its own.
        rustix::process::kill_process(Pid::from_child(&self.child), signal)
            .wrap_err_with(|| format!("{}: {signal:?} can't be sent", self.name))
    }

    fn lock_log(&self) -> MutexGuard<'_, Vec<String>> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // A process that has ended already can't be killed again.
        let _ended_before = self.child.kill();
        let _status = self.child.wait();
    }
}

/// Keeps the lines of the log, and hands on those that are not part of it: the ready line.
fn collect_stdout(
    stdout: impl Read + Send + 'static,
    log: Arc<Mutex<Vec<String>>>,
) -> Receiver<String> {
    let (sender, lines) = mpsc::channel();
    thread::spawn(move || {
        // The pipe is read to its end, so that the process never waits for a reader.
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
