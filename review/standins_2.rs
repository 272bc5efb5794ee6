//! Small stand-ins of a store, servers and clients for the scripts of this review, with the
//! standard library alone, and the start and stop of real fronts.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const REQUEST_ID: &str = "x-alderhaven-request-id";
pub const EXPECTED_SERVER: &str = "x-alderhaven-expect-instance";
pub const HOST: &str = "records.example";

/// Time between two beats of a server, by the settings of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}

/// The record of a run: one line for each event, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn write(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        // The record is for readers; a failed write must not change the result.
        let _written = writeln!(lock(&self.file), "{at:9.3} {line}");
    }

    /// Writes a line that is also shown on the terminal.
    pub fn tell(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}

/// The head of an HTTP/1.1 message, with its body.
#[derive(Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(io::Error::other)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A store of objects with lists and watches.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Specs as JSON by kind and name, with the revision of their last change.
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<StoreEvent>,
}

#[derive(Clone)]
struct StoreEvent {
    kind: String,
    name: String,
    revision: u64,
    spec: Option<String>,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        lock(&store.shared.0).revision = 1;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.change(kind, name, Some(spec.to_owned()));
    }

    pub fn delete(&self, kind: &str, name: &str) {
        self.change(kind, name, None);
    }

    fn change(&self, kind: &str, name: &str, spec: Option<String>) {
        let mut state = lock(&self.shared.0);
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        match &spec {
            Some(spec) => {
                state.objects.insert(key, (revision, spec.clone()));
            }
            None => {
                state.objects.remove(&key);
            }
        }
        state.events.push(StoreEvent {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision,
            spec,
        });
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let Ok(Some(request)) = read_message(&mut reader) {
            let answer = self.answer(request.word(0), request.word(1));
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str) -> Vec<u8> {
        let json = [("content-type", "application/json")];
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.strip_prefix("/alderhaven/objects/");
        let Some(path) = path.filter(|_| method == "GET") else {
            return response("404 Not Found", &json, b"{}");
        };
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let body = match path.split_once('/') {
            Some((kind, name)) => self.one(kind, name),
            None => match parameter("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = parameter("wait-ms").and_then(|text| text.parse().ok());
                    Some(self.watch(path, after, Duration::from_millis(wait.unwrap_or(0))))
                }
                None => Some(self.list(path, parameter("after").unwrap_or_default())),
            },
        };
        match body {
            Some(body) => response("200 OK", &json, body.as_bytes()),
            None => response("404 Not Found", &json, b"{}"),
        }
    }

    fn one(&self, kind: &str, name: &str) -> Option<String> {
        let state = lock(&self.shared.0);
        let key = (kind.to_owned(), name.to_owned());
        let (revision, spec) = state.objects.get(&key)?;
        Some(object_json(name, *revision, Some(spec)))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = lock(&self.shared.0);
        let objects = state.objects.iter();
        let objects = objects.filter(|((of, name), _)| of == kind && name.as_str() > after);
        let items: Vec<String> = objects
            .map(|((_, name), (revision, spec))| object_json(name, *revision, Some(spec)))
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        format!("{{\"items\":[{items}],\"more\":false,\"current-rev\":{revision}}}")
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = lock(&self.shared.0);
        loop {
            let events = state.events.iter();
            let events: Vec<String> = events
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    let object = object_json(&event.name, event.revision, event.spec.as_ref());
                    let is_deleted = event.spec.is_none();
                    format!("{{\"object\":{object},\"deleted\":{is_deleted}}}")
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"current-rev\":{revision}}}");
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

fn object_json(name: &str, revision: u64, spec: Option<&String>) -> String {
    let spec = spec.map_or("null", String::as_str);
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

/// What a server reports of a request.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub request_id: String,
    pub path: String,
    pub server: String,
}

/// A server that crashes when it runs a request whose path holds `crash_word`, and is back with a
/// new id after `down_time`.
#[derive(Clone)]
pub struct Server {
    shared: Arc<ServerShared>,
}

pub struct ServerOptions {
    pub service: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub slots: u32,
    pub work: Duration,
    pub crash_word: String,
    pub down_time: Duration,
    /// How long the server is cold after its start.
    pub warmup: Duration,
    /// Spoils one of this many answers: a body of one-byte chunks without end. 0 means none.
    pub spoil_period: u64,
}

struct ServerShared {
    options: ServerOptions,
    store: Store,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    address: Mutex<Option<SocketAddr>>,
    /// Unix milliseconds of the latest start.
    born: Mutex<u64>,
    starts: AtomicU64,
    answered: AtomicU64,
    number: u64,
}

/// One process of a server.
struct Boot {
    id: String,
    has_ended: AtomicBool,
    running: AtomicU64,
    /// Open connections by their number.
    streams: Mutex<BTreeMap<u64, TcpStream>>,
}

impl Server {
    pub fn start(
        number: u64,
        options: ServerOptions,
        store: &Store,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> io::Result<Self> {
        let server = Self {
            shared: Arc::new(ServerShared {
                options,
                store: store.clone(),
                record: record.clone(),
                arrivals: Arc::clone(arrivals),
                address: Mutex::default(),
                born: Mutex::default(),
                starts: AtomicU64::new(0),
                answered: AtomicU64::new(0),
                number,
            }),
        };
        server.boot()?;
        Ok(server)
    }

    fn boot(&self) -> io::Result<()> {
        let shared = &self.shared;
        let options = &shared.options;
        let known = *lock(&shared.address);
        let listener = TcpListener::bind(known.unwrap_or((options.ip, 0).into()))?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        *lock(&shared.address) = Some(address);
        *lock(&shared.born) = unix_millis();
        let start = shared.starts.fetch_add(1, Ordering::Relaxed);
        let id = format!("i-{:03}-{start:02}", shared.number);
        let boot = Arc::new(Boot {
            id: id.clone(),
            has_ended: AtomicBool::new(false),
            running: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        shared
            .record
            .write(&format!("server {id} starts at {address}"));
        let (server, beating) = (self.clone(), Arc::clone(&boot));
        thread::spawn(move || server.accept(&listener, &boot));
        let server = self.clone();
        server.register(&id, 1, options.warmup);
        thread::spawn(move || server.beat(&beating));
        Ok(())
    }

    fn register(&self, id: &str, sequence: u64, warmup_left: Duration) {
        let shared = &self.shared;
        let options = &shared.options;
        let Some(address) = *lock(&shared.address) else {
            return;
        };
        let spec = format!(
            "{{\"backend\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"warmup-left-ms\":{},\"seq-no\":{sequence},\
             \"born\":{}}}",
            options.service,
            options.zone,
            options.slots,
            warmup_left.as_millis(),
            lock(&shared.born)
        );
        shared.store.put("servers", id, &spec);
    }

    /// Writes the entry anew with each beat until the server is warm.
    fn beat(&self, boot: &Boot) {
        let warmup = self.shared.options.warmup;
        let started = Instant::now();
        let mut left = warmup;
        let mut sequence = 1;
        while !left.is_zero() {
            thread::sleep(HEARTBEAT);
            if boot.has_ended.load(Ordering::Acquire) {
                return;
            }
            left = warmup.saturating_sub(started.elapsed());
            sequence += 1;
            self.register(&boot.id, sequence, left);
        }
    }

    fn accept(&self, listener: &TcpListener, boot: &Arc<Boot>) {
        for number in 0.. {
            if boot.has_ended.load(Ordering::Acquire) {
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(500));
                continue;
            };
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            lock(&boot.streams).insert(number, kept);
            let (server, boot) = (self.clone(), Arc::clone(boot));
            thread::spawn(move || {
                server.serve(stream, &boot);
                lock(&boot.streams).remove(&number);
            });
        }
    }

    fn serve(&self, stream: TcpStream, boot: &Arc<Boot>) {
        // Accepted sockets of a nonblocking listener are blocking on Linux; set it all the same.
        let is_set = stream.set_nonblocking(false).is_ok() && stream.set_nodelay(true).is_ok();
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        let mut stream = stream;
        while let (true, Ok(Some(request))) = (is_set, read_message(&mut reader)) {
            let Some(answer) = self.answer(&request, boot, &mut stream) else {
                return;
            };
            if boot.has_ended.load(Ordering::Acquire) || stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Runs a request; `None` if the connection is to be closed.
    fn answer(
        &self,
        request: &Message,
        boot: &Arc<Boot>,
        stream: &mut TcpStream,
    ) -> Option<Vec<u8>> {
        let options = &self.shared.options;
        let request_id = request.header(REQUEST_ID).unwrap_or_default();
        let path = request.word(1);
        if request
            .header(EXPECTED_SERVER)
            .is_some_and(|id| id != boot.id)
        {
            let headers = [("x-alderhaven-instance-id", boot.id.as_str())];
            return Some(response("421 Misdirected Request", &headers, b""));
        }
        if boot.running.fetch_add(1, Ordering::AcqRel) >= u64::from(options.slots) {
            boot.running.fetch_sub(1, Ordering::AcqRel);
            let headers = [(REQUEST_ID, request_id), ("x-alderhaven-not-executed", "1")];
            return Some(response("503 Service Unavailable", &headers, b""));
        }
        lock(&self.shared.arrivals).push(Arrival {
            at: Instant::now(),
            request_id: request_id.to_owned(),
            path: path.to_owned(),
            server: boot.id.clone(),
        });
        let record = &self.shared.record;
        if path.contains(&options.crash_word) {
            record.write(&format!(
                "run {request_id} {path} at {}: it crashes",
                boot.id
            ));
            self.crash(boot);
            return None;
        }
        record.write(&format!("run {request_id} {path} at {}", boot.id));
        thread::sleep(options.work);
        boot.running.fetch_sub(1, Ordering::AcqRel);
        let answered = self.shared.answered.fetch_add(1, Ordering::Relaxed);
        if options.spoil_period > 0
            && (answered + 7 * self.shared.number) % options.spoil_period == 0
        {
            record.write(&format!("spoil the answer to {request_id} at {}", boot.id));
            send_endless(stream, request_id);
            return None;
        }
        let stamp = format!("stamp-{}-{request_id}", boot.id);
        let headers = [
            (REQUEST_ID, request_id),
            ("x-alderhaven-response-stamp", stamp.as_str()),
        ];
        Some(response("200 OK", &headers, b"record"))
    }

    /// Ends the process without a word. The entry lapses after three beats of silence.
    fn crash(&self, boot: &Arc<Boot>) {
        if boot.has_ended.swap(true, Ordering::AcqRel) {
            return;
        }
        for stream in std::mem::take(&mut *lock(&boot.streams)).values() {
            let _is_shut = stream.shutdown(Shutdown::Both);
        }
        let (server, id) = (self.clone(), boot.id.clone());
        thread::spawn(move || {
            let shared = &server.shared;
            thread::sleep(shared.options.down_time);
            while server.boot().is_err() {
                thread::sleep(Duration::from_millis(50));
            }
            let lapse = HEARTBEAT * 3;
            thread::sleep(lapse.saturating_sub(shared.options.down_time));
            shared.store.delete("servers", &id);
        });
    }
}

/// Sends a body of one-byte chunks until the caller closes the connection.
fn send_endless(stream: &mut TcpStream, request_id: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request_id}\r\nx-alderhaven-response-stamp: stamp\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunks = b"1\r\nx\r\n".repeat(6_000);
    let mut is_open = stream.write_all(head.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(&chunks).is_ok();
        thread::sleep(Duration::from_millis(15));
    }
}

/// One process of the project, started with a command of the deploy file.
pub struct Process {
    pub name: String,
    command: Vec<String>,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
    pub started: Instant,
}

impl Process {
    pub fn start(name: &str, command: &str, settings: &Path, log: &Path) -> io::Result<Self> {
        let command: Vec<String> = command.split(' ').map(str::to_owned).collect();
        let child = spawn(&command, settings, log)?;
        Ok(Self {
            name: name.to_owned(),
            command,
            settings: settings.to_owned(),
            log: log.to_owned(),
            child,
            started: Instant::now(),
        })
    }

    /// Sends a signal by its name, as `kill` knows it.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _status = Command::new("kill").args(["-s", signal, &id]).status();
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        self.signal("TERM");
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }

    pub fn kill(&mut self) {
        // The process may have ended by itself.
        let _is_killed = self.child.kill();
        let _status = self.child.wait();
    }

    pub fn start_again(&mut self) -> io::Result<()> {
        self.child = spawn(&self.command, &self.settings, &self.log)?;
        self.started = Instant::now();
        Ok(())
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(command: &[String], settings: &Path, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    Command::new(&command[0])
        .args(&command[1..])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("ALDERHAVEN_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Ports of all machines, the same on each.
pub const FRONT_PORT: u16 = 28_104;
pub const READY_PORT: u16 = 28_108;
pub const DIRECTORY_PORT: u16 = 28_100;
pub const CONTROL_PORT: u16 = 28_106;
pub const INTERNAL_PORTS: (u16, u16) = (27_380, 27_395);

/// One machine of the deployment.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
}

impl Machine {
    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT_PORT).into()
    }

    pub fn ready(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    /// The settings of one role on this machine; `extra` holds further lines of `[bounds]`.
    pub fn settings(
        &self,
        role: &str,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
        is_first_start: bool,
        extra: &str,
    ) -> String {
        let seeds: Vec<String> = seeds
            .iter()
            .map(|ip| format!("\"{ip}:{CONTROL_PORT}\""))
            .collect();
        let (serves, listen) = match role {
            "front" => (
                "\"front\",\"control\"",
                format!(
                    "front = \"{0}:{FRONT_PORT}\"\nready-addr = \"{0}:{READY_PORT}\"\n\
                     control = \"{0}:{CONTROL_PORT}\"",
                    self.ip
                ),
            ),
            _ => (
                "\"directory\"",
                format!("directory = \"{}:{DIRECTORY_PORT}\"", self.ip),
            ),
        };
        format!(
            r#"node-name = "{name}"
role = "{role}"
machine-class = "front"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "region"
internal-ports = [{first},{last}]
seeds = [{seeds}]
bootstrap = {is_first_start}
in-tolerance = false
discovery = "platform"
entry-mode = "directory"
heartbeat-ms = 1200
[listen-addrs]
{listen}
[limits]
cpu-share = 0.25
cpu-cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
stable-window-ms = 4000
ack-timeout-ms = 5000
catch-up-s = 4
drain-ms = 3000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 3000
rollback-slack-ms = 250
max-skew-ms = 12000
retry-budget-ratio = 0.2
budget-window-s = 10
retry-budget-extra = 56
recovery-s = 12
ttl_max_s = 5
{extra}
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"#,
            name = self.name,
            ip = self.ip,
            zone = self.zone,
            first = INTERNAL_PORTS.0,
            last = INTERNAL_PORTS.1,
            seeds = seeds.join(","),
        )
    }
}

/// Finds loopback addresses on which all ports of a machine are free.
pub fn free_machines(zones: &[&str]) -> io::Result<Vec<Machine>> {
    let base = (std::process::id() % 200) as u8 + 20;
    let ports = [
        FRONT_PORT,
        READY_PORT,
        DIRECTORY_PORT,
        CONTROL_PORT,
        INTERNAL_PORTS.0,
        9_180,
        9_181,
    ];
    let mut machines = Vec::new();
    for host in 1..=250 {
        let ip = Ipv4Addr::new(127, 64, base, host);
        if ports
            .iter()
            .all(|port| TcpListener::bind((ip, *port)).is_ok())
        {
            let zone = zones[machines.len()];
            machines.push(Machine {
                name: format!("front-{zone}-{}", machines.len() + 1),
                zone: zone.to_owned(),
                ip,
            });
        }
        if machines.len() == zones.len() {
            return Ok(machines);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}

/// Waits until the readiness probe of a machine gets a 200.
pub fn wait_until_ready(machine: &Machine, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let probe = send(machine.ready(), "GET", "/alderhaven/ready", &[], b"", limit);
        if probe.is_ok_and(|answer| answer.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Sends a request on a new connection and reads the answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let answer = read_message(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
