//! A machine is stopped for a planned restart while consumers send requests that take seconds.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Answer, Backend};
use crate::client::{self, End, Request};
use crate::deployment::{self, Machine, MachinePlace, Role, SharedSettings, Workplace};
use crate::record::Record;
use crate::store::Store;
use crate::{CaseSetup, Verdict};

const HOST: &str = "desk.example";
const DEADLINE: Duration = Duration::from_secs(6);
/// The work of a long request. With `SHORT_WORK`, both are well within deadline, timeout and grace.
const LONG_WORK: Duration = Duration::from_millis(2_300);
const SHORT_WORK: Duration = Duration::from_millis(90);
const GRACE: Duration = Duration::from_secs(6);
/// Up to here after the SIGTERM, the rule excuses requests that run to the end of the grace period.
const EXCUSED_SECONDS: f64 = 3.0;
const CONSUMERS: usize = 32;
/// One in so many consumers keeps an answer of the directory three times as long as it says.
const LONG_KEEPERS: usize = 4;
/// Consumers that ask the directory just before the SIGTERM, and send their next request while they
/// may still keep the answer.
const LATE_CONSUMERS: usize = 20;
const LATE_SEND: Duration = Duration::from_millis(3_600);
const LATE_SPREAD: Duration = Duration::from_millis(15);
const SERVERS: usize = 12;

const BOUNDS: &str = "seed-lag-s = 3\naddr-reuse-s = 2\nstable-window-ms = 4000\n\
    ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n\
    config-apply-ms = 3000\nrollback-slack-ms = 250\nmax-skew-ms = 12000\n\
    retry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-extra = 56\nrecovery-s = 12\n\
    ttl_max_s = 5\n";

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"r-desk","hostname":"desk.example","path-prefix":"/record/","route-type":"unsafe",
     "timeout-ms":6000,"target-latency-ms":3000,"priority":1,"attempts":2,"backend":"record-view"}],
    "services":[{"name":"record-view","health-path":"/health","max-conns":110,"protocol":"h1",
     "tls":false}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,
     "idle-timeout-ms":15000}}"#;

/// A request as its consumer saw it.
#[derive(Clone, Debug)]
struct Attempt {
    id: String,
    address: SocketAddr,
    sent_at: f64,
    ended_at: f64,
    end: End,
}

struct Load {
    record: Record,
    directories: Vec<SocketAddr>,
    next_id: AtomicU64,
    draws: AtomicU64,
    is_over: AtomicBool,
    attempts: Mutex<Vec<Attempt>>,
}

pub fn run(setup: CaseSetup) -> Result<Verdict, String> {
    let record = setup.record.clone();
    let workplace = Workplace::create()?;
    let store = Store::start("127.0.0.1")?;
    let zones = ["hall-a", "hall-b"];
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = Backend::start(&format!("i-{number}"), "127.0.0.1", &record, work_of)?;
        server.register(&store, "record-view", zones[number % 2]);
        servers.push(server);
    }
    store.put("config", "main", CONFIG);
    let shared = SharedSettings {
        store: store.address,
        bounds: BOUNDS,
    };
    let seeds = [workplace.ip(0), workplace.ip(1)];
    let mut fronts = Vec::new();
    let mut directories = Vec::new();
    for (number, zone) in zones.into_iter().enumerate() {
        for (role, machines) in [
            (Role::Front, &mut fronts),
            (Role::Directory, &mut directories),
        ] {
            let place = MachinePlace {
                role,
                number,
                zone,
                seeds: &seeds,
            };
            let mut machine = Machine::prepare(&workplace, &setup.root, &record, &shared, place)?;
            machine.start()?;
            machines.push(machine);
        }
    }
    wait_until_served(&fronts, &directories)?;
    record.note("both machines are ready and named by the directories");

    let load = Arc::new(Load {
        record: record.clone(),
        directories: directories.iter().map(Machine::directory_address).collect(),
        next_id: AtomicU64::new(1),
        draws: AtomicU64::new(1),
        is_over: AtomicBool::new(false),
        attempts: Mutex::default(),
    });
    let mut consumers: Vec<_> = (0..CONSUMERS)
        .map(|number| {
            let load = Arc::clone(&load);
            thread::spawn(move || load.send_requests(number))
        })
        .collect();
    // Longer than `stable-window-ms`.
    thread::sleep(Duration::from_secs(6));
    consumers.extend((0..LATE_CONSUMERS).map(|number| {
        let load = Arc::clone(&load);
        thread::spawn(move || load.send_late(LATE_SEND + LATE_SPREAD * number as u32))
    }));
    thread::sleep(Duration::from_millis(100));
    let mut stopped_at = None;
    if setup.has_trouble {
        stopped_at = Some(record.now());
        fronts[0].terminate()?;
        let kill_at = Instant::now() + GRACE;
        while Instant::now() < kill_at && !fronts[0].has_ended() {
            thread::sleep(Duration::from_millis(10));
        }
        if fronts[0].has_ended() {
            record.note("the process has ended by itself");
        } else {
            record.note("SIGKILL: the grace period is over");
        }
        fronts[0].kill();
        fronts[0].end_bootstrap()?;
        fronts[0].start()?;
    } else {
        thread::sleep(GRACE);
    }
    thread::sleep(Duration::from_secs(3));
    load.is_over.store(true, Ordering::SeqCst);
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer panicked")?;
    }
    Ok(judge(
        &record,
        &load,
        &servers,
        fronts[0].caller_address(),
        stopped_at,
    ))
}

/// Chooses the work of a request by its path.
fn work_of(request: &crate::http::Message) -> Answer {
    let is_long = request.word(1).starts_with("/record/long/");
    Answer {
        work: if is_long { LONG_WORK } else { SHORT_WORK },
        extra_headers: "X-Alderhaven-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n",
        body: b"one record".to_vec(),
    }
}

fn wait_until_served(fronts: &[Machine], directories: &[Machine]) -> Result<(), String> {
    deployment::wait_until("the fronts are ready", || {
        fronts.iter().all(Machine::is_ready)
    })?;
    deployment::wait_until("the directories name both fronts", || {
        directories.iter().all(|directory| {
            resolve(directory.directory_address()).is_some_and(|(named, _)| named.len() == 2)
        })
    })
}

/// Asks a directory; returns the addresses and how long they may be kept.
fn resolve(directory: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let path = format!("/alderhaven/resolve?name={HOST}&region=r&zone=hall-a");
    let answer = client::get(directory, &path).ok()?;
    if answer.status() != 200 {
        return None;
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    let list = body.split_once("\"addrs\":[")?.1.split_once(']')?.0;
    let addresses = list
        .split(',')
        .filter_map(|text| text.trim_matches('"').parse().ok());
    let life = body.split_once("\"ttl_s\":")?.1;
    let life = life.split(['}', ',']).next()?.trim().parse::<f64>().ok()?;
    Some((addresses.collect(), Duration::from_secs_f64(life.min(5.0))))
}

impl Load {
    /// Sends one request after the other, each on a new connection to an address that the directory
    /// named, until the load is over.
    fn send_requests(&self, number: usize) {
        let mut known: Option<(Vec<SocketAddr>, Instant)> = None;
        let mut count = number;
        // Consumers don't ask the directory at the same moment.
        thread::sleep(Duration::from_millis(100 * number as u64));
        while !self.is_over.load(Ordering::SeqCst) {
            if known
                .as_ref()
                .is_none_or(|(_, until)| Instant::now() >= *until)
            {
                let mut directories = self.directories.iter();
                if let Some((named, life)) = directories.find_map(|address| resolve(*address)) {
                    let is_long_keeper = number % LONG_KEEPERS == 0;
                    let kept = if is_long_keeper { life * 3 } else { life };
                    known = Some((named, Instant::now() + kept));
                }
            }
            let Some((named, _)) = &known else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            count += 1;
            let kind = if count % 2 == 0 { "long" } else { "short" };
            self.send_one(named[self.draw() % named.len()], kind);
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Asks the directory now, and sends one long request after a pause in which the answer still
    /// counts.
    fn send_late(&self, pause: Duration) {
        let resolved = self
            .directories
            .iter()
            .find_map(|address| resolve(*address));
        let Some((named, life)) = resolved else {
            return;
        };
        thread::sleep(pause);
        if pause < life {
            self.send_one(named[self.draw() % named.len()], "long");
        }
    }

    /// Draws a number for the choice of an address.
    fn draw(&self) -> usize {
        let drawn = self.draws.fetch_add(1, Ordering::SeqCst);
        (drawn.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40) as usize
    }

    fn send_one(&self, address: SocketAddr, kind: &str) {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let request = Request {
            method: "POST",
            host: HOST,
            path: format!("/record/{kind}/{number}"),
            id: format!("{number:016x}"),
            deadline: DEADLINE,
            body: b"a record".to_vec(),
        };
        let sent_at = self.record.now();
        self.record
            .event(&format!("sent {} ({kind}) to {address}", request.id));
        let end = request.send(address);
        self.record.event(&format!(
            "the consumer of {} gets: {}",
            request.id,
            end.describe()
        ));
        self.attempts.lock().unwrap().push(Attempt {
            id: request.id,
            address,
            sent_at,
            ended_at: self.record.now(),
            end,
        });
    }
}

fn judge(
    record: &Record,
    load: &Load,
    servers: &[Backend],
    stopped: SocketAddr,
    stopped_at: Option<f64>,
) -> Verdict {
    let attempts = load.attempts.lock().unwrap().clone();
    let runs: Vec<_> = servers.iter().flat_map(Backend::runs).collect();
    let answered = attempts
        .iter()
        .filter(|attempt| matches!(attempt.end, End::Response(_)));
    let cut: Vec<_> = attempts
        .iter()
        .filter(|attempt| matches!(attempt.end, End::Cut(_)))
        .filter(|attempt| attempt.ended_at - attempt.sent_at < DEADLINE.as_secs_f64() * 0.95)
        .filter(|attempt| runs.contains(&attempt.id))
        .collect();
    record.note(&format!(
        "{} requests, {} answered, {} cut after a server had begun to run them",
        attempts.len(),
        answered.count(),
        cut.len()
    ));
    let mut broken = 0;
    for attempt in cut {
        let after = attempt.sent_at - stopped_at.unwrap_or(attempt.sent_at);
        let is_planned = stopped_at.is_some() && attempt.address == stopped;
        let is_counted = !is_planned || after > EXCUSED_SECONDS;
        broken += usize::from(is_counted);
        record.note(&format!(
            "{} {}: sent {after:.3} s after the SIGTERM, cut {:.3} s later, sent to {}",
            if is_counted { "LOST" } else { "excused" },
            attempt.id,
            attempt.ended_at - attempt.sent_at,
            attempt.address,
        ));
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
