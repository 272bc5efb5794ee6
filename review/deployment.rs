//! Starts machines of the system with the commands of the deploy file, each on a loopback address of
//! its own.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::record::Record;

const CALLER_PORT: u16 = 8104;
const READY_PORT: u16 = 8108;
const CONTROL_PORT: u16 = 8106;
const DIRECTORY_PORT: u16 = 8100;
const METRICS_PORT: u16 = 9180;

/// How long the system may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings that all machines share.
pub struct SharedSettings {
    pub store: SocketAddr,
    /// The section `[bounds]`.
    pub bounds: &'static str,
}

/// A role of the deploy file.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Front,
    Directory,
}

/// Loopback addresses that no other run uses, and a folder for settings.
pub struct Workplace {
    pub folder: PathBuf,
    /// The first two numbers of the addresses after 127.
    base: (u8, u8),
}

impl Workplace {
    /// Finds a free range of addresses.
    pub fn create() -> Result<Self, String> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-{process}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        for attempt in 0..200 {
            let number = process.wrapping_mul(31).wrapping_add(attempt * 7);
            let base = ((number / 250 % 200 + 20) as u8, (number % 250 + 1) as u8);
            let workplace = Self {
                folder: folder.clone(),
                base,
            };
            if workplace.is_free() {
                return Ok(workplace);
            }
        }
        Err("no free loopback addresses".to_owned())
    }

    /// Returns the address of the machine with this number.
    pub fn ip(&self, number: usize) -> String {
        format!("127.{}.{}.{}", self.base.0, self.base.1, number + 1)
    }

    fn is_free(&self) -> bool {
        let ip = self.ip(0);
        [CALLER_PORT, 7380, 7381, METRICS_PORT]
            .iter()
            .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
    }
}

impl Drop for Workplace {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// One process of the system. It is killed when it is dropped.
pub struct Machine {
    pub name: String,
    pub ip: String,
    root: PathBuf,
    role: Role,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Machine {
    /// Writes the settings of a process that has not been started.
    pub fn prepare(
        workplace: &Workplace,
        root: &Path,
        record: &Record,
        shared: &SharedSettings,
        place: MachinePlace<'_>,
    ) -> Result<Self, String> {
        let role_name = match place.role {
            Role::Front => "front",
            Role::Directory => "directory",
        };
        let machine = Self {
            name: format!("front-{}-{}", place.zone, place.number + 1),
            ip: workplace.ip(place.number),
            root: root.to_owned(),
            role: place.role,
            settings: workplace
                .folder
                .join(format!("{role_name}-{}.toml", place.number)),
            child: None,
            record: record.clone(),
        };
        fs::write(
            &machine.settings,
            machine.settings_text(shared, &place, role_name),
        )
        .map_err(|error| error.to_string())?;
        Ok(machine)
    }

    fn settings_text(
        &self,
        shared: &SharedSettings,
        place: &MachinePlace<'_>,
        role_name: &str,
    ) -> String {
        let (name, ip, zone) = (&self.name, &self.ip, place.zone);
        let seeds: Vec<String> = place
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}:{CONTROL_PORT}\""))
            .collect();
        let seeds = seeds.join(",");
        let listen = match place.role {
            Role::Front => format!(
                "front = \"{ip}:{CALLER_PORT}\"\nready-addr = \"{ip}:{READY_PORT}\"\n\
                 control = \"{ip}:{CONTROL_PORT}\"\n"
            ),
            Role::Directory => format!("directory = \"{ip}:{DIRECTORY_PORT}\"\n"),
        };
        format!(
            "node-name = \"{name}\"\nrole = \"{role_name}\"\nmachine-class = \"front\"\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\ninternal-ports = [7380,7395]\n\
             seeds = [{seeds}]\nbootstrap = true\ndiscovery = \"platform\"\n\
             entry-mode = \"directory\"\nheartbeat-ms = 1200\n\
             [listen-addrs]\n{listen}[limits]\ncpu-share = 0.25\ncpu-cores = 1\n\
             memory-mb = 260\nmax-fds = 4100\n[bounds]\n{}\n[platform]\naddress = \"{}\"\n\
             form = \"objects\"\n",
            shared.bounds, shared.store
        )
    }

    /// Starts the process with the command of its role in the deploy file.
    pub fn start(&mut self) -> Result<(), String> {
        let port = match self.role {
            Role::Front => "9180",
            Role::Directory => "9181",
        };
        let child = Command::new(self.root.join("target/release/alder-front"))
            .args(["--metrics-port", port])
            .current_dir(&self.root)
            .env_clear()
            .env("ALDERHAVEN_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("alder-front: {error}"))?;
        self.record.event(&format!(
            "start of {} on {}, process {}",
            self.name,
            self.ip,
            child.id()
        ));
        self.child = Some(child);
        Ok(())
    }

    /// Marks the settings as those of a later start than the first of the whole system.
    pub fn end_bootstrap(&self) -> Result<(), String> {
        let text = fs::read_to_string(&self.settings).map_err(|error| error.to_string())?;
        let text = text.replace("bootstrap = true", "bootstrap = false");
        fs::write(&self.settings, text).map_err(|error| error.to_string())
    }

    /// Sends the process SIGTERM.
    pub fn terminate(&self) -> Result<(), String> {
        let child = self.child.as_ref().ok_or("the process is not running")?;
        self.record.note(&format!("SIGTERM to {}", self.name));
        // The standard library sends no signal but SIGKILL.
        let command = format!("kill -TERM {}", child.id());
        let status = Command::new("sh").args(["-c", &command]).status();
        status.map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns true if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn caller_address(&self) -> SocketAddr {
        self.address(CALLER_PORT)
    }

    pub fn directory_address(&self) -> SocketAddr {
        self.address(DIRECTORY_PORT)
    }

    pub fn is_ready(&self) -> bool {
        let answer = client::get(self.address(READY_PORT), "/alderhaven/ready");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("an address")
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Where a process runs.
pub struct MachinePlace<'a> {
    pub role: Role,
    pub number: usize,
    pub zone: &'a str,
    /// The addresses of the seeds.
    pub seeds: &'a [String],
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) -> Result<(), String> {
    let started = Instant::now();
    while !is_met() {
        if started.elapsed() > READY_TIMEOUT {
            return Err(format!("not within {READY_TIMEOUT:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
