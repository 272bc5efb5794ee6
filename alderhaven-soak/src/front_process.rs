//! Runs a front as a child process, sends it signals and restarts it whenever it ends.

use std::fs::File;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::front_settings::{FrontSettings, SETTINGS_VARIABLE};
use eyre::{Result, WrapErr};
use rustix::process::{Pid, Signal};
use tokio::sync::mpsc;

use crate::soak_history::{DisruptionSubject, HistoryLog, ProcessRecord};

/// How often the child process is checked for its end and for due actions.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The delay between the end of a process and its restart.
const RESTART_DELAY: TimeSpan = TimeSpan::from_millis(300);

/// A command for the process of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontCommand {
    /// Stops it with SIGTERM, and kills it after the grace period.
    Stop,
    /// Kills it with SIGKILL.
    Kill,
    /// Suspends it for a time, with SIGSTOP and SIGCONT.
    Freeze(TimeSpan),
    /// Makes it reload its settings, with SIGHUP.
    Reload,
}

/// Supervises the successive processes of one front. Dropping it kills the current one.
#[derive(Debug)]
pub struct FrontProcess {
    settings: FrontSettings,
    binary: PathBuf,
    directory: PathBuf,
    log: HistoryLog,
    start_count: usize,
    child: Option<Child>,
    restart_at: TimePoint,
    kill_at: Option<TimePoint>,
    /// When to resume the suspended process, and the index of its disruption.
    frozen: Option<(TimePoint, usize)>,
}

impl FrontProcess {
    /// Starts the first process. Its settings file and the output of all processes go to `directory`.
    ///
    /// # Errors
    /// A file can't be written, or the binary can't be started.
    pub fn start(
        settings: FrontSettings,
        binary: &Path,
        directory: &Path,
        log: HistoryLog,
    ) -> Result<Self> {
        let path = directory.join(format!("{}.toml", settings.name));
        std::fs::write(&path, settings.to_toml())
            .wrap_err_with(|| format!("{} can't be written", path.display()))?;
        let mut process = Self {
            settings,
            binary: binary.to_owned(),
            directory: directory.to_owned(),
            log,
            start_count: 0,
            child: None,
            restart_at: TimePoint::START,
            kill_at: None,
            frozen: None,
        };
        process.start_child()?;
        Ok(process)
    }

    /// Executes commands until the sender is dropped, and restarts the process whenever it ends.
    ///
    /// # Errors
    /// The binary can't be started again, or a signal can't be sent.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<FrontCommand>) -> Result<()> {
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.execute(command)?,
                    None => return Ok(()),
                },
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
            self.run_maintenance()?;
        }
    }

    const fn host(&self) -> IpAddr {
        self.settings.ip
    }

    fn start_child(&mut self) -> Result<()> {
        self.start_count += 1;
        let name = &self.settings.name;
        let output = self
            .directory
            .join(format!("{name}.{}.log", self.start_count));
        let output = File::create(&output).wrap_err("the output log can't be created")?;
        let errors = output
            .try_clone()
            .wrap_err("the output log can't be duplicated for stderr")?;
        let child = Command::new(&self.binary)
            .env(
                SETTINGS_VARIABLE,
                self.directory.join(format!("{name}.toml")),
            )
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("{} can't be started", self.binary.display()))?;
        self.child = Some(child);
        let started = self.log.now();
        self.log.lock().processes.push(ProcessRecord {
            front: self.host(),
            started_at: started,
            stop_requested_at: None,
            is_killed: false,
            ended_at: None,
        });
        Ok(())
    }

    fn execute(&mut self, command: FrontCommand) -> Result<()> {
        if self.child.is_none() {
            return Ok(());
        }
        let now = self.log.now();
        match command {
            FrontCommand::Stop => {
                self.update_process_record(|process| {
                    process.stop_requested_at = process.stop_requested_at.or(Some(now));
                });
                let grace = TimeSpan::from_secs(self.settings.grace_s);
                self.kill_at = self.kill_at.or(Some(now + grace));
                self.signal(Signal::TERM)
            }
            FrontCommand::Kill => self.kill(),
            FrontCommand::Freeze(span) => {
                self.resume()?;
                let disruption = self
                    .log
                    .begin_disruption(DisruptionSubject::Front(self.host()), "frozen");
                self.frozen = Some((now + span, disruption));
                self.signal(Signal::STOP)
            }
            FrontCommand::Reload => self.signal(Signal::HUP),
        }
    }

    /// Performs the actions that are due, and records the end of the process.
    fn run_maintenance(&mut self) -> Result<()> {
        let now = self.log.now();
        if self.frozen.is_some_and(|(until, _)| now >= until) {
            self.resume()?;
        }
        if self.kill_at.is_some_and(|at| now >= at) {
            self.kill()?;
        }
        match &mut self.child {
            Some(child) => {
                if child
                    .try_wait()
                    .wrap_err("the status of the process can't be read")?
                    .is_some()
                {
                    self.record_exit(now);
                }
                Ok(())
            }
            None if now >= self.restart_at => self.start_child(),
            None => Ok(()),
        }
    }

    fn record_exit(&mut self, now: TimePoint) {
        self.child = None;
        self.kill_at = None;
        if let Some((_, disruption)) = self.frozen.take() {
            self.log.end_disruption(disruption);
        }
        self.restart_at = now + RESTART_DELAY;
        self.update_process_record(|process| process.ended_at = Some(now));
    }

    fn kill(&mut self) -> Result<()> {
        self.kill_at = None;
        self.update_process_record(|process| process.is_killed = true);
        self.log
            .record_disruption(DisruptionSubject::Front(self.host()), "killed");
        self.signal(Signal::KILL)
    }

    fn resume(&mut self) -> Result<()> {
        let Some((_, disruption)) = self.frozen.take() else {
            return Ok(());
        };
        self.log.end_disruption(disruption);
        self.signal(Signal::CONT)
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        // Only `run_maintenance` and `drop` reap the child, so its id can't have been reused.
        rustix::process::kill_process(Pid::from_child(child), signal)
            .wrap_err_with(|| format!("{signal:?} can't be sent to {}", self.settings.name))
    }

    fn update_process_record(&self, change: impl FnOnce(&mut ProcessRecord)) {
        let host = self.host();
        let mut history = self.log.lock();
        let process = history
            .processes
            .iter_mut()
            .rfind(|process| process.front == host);
        if let Some(process) = process {
            change(process);
        }
    }
}

impl Drop for FrontProcess {
    fn drop(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        // Fails if the process has already ended.
        let _ended_before = child.kill();
        let _status = child.wait();
    }
}
