//! Some servers spoil a few of their answers: bytes of the head are overwritten, so that the stamp is
//! missing, or an encoding stands in the head with bytes that are not the server's body.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::backend::{Answer, Backend};
use crate::client::{End, Request};
use crate::deployment::{self, Machine, MachinePlace, Role, SharedSettings, Workplace};
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;
use crate::{CaseSetup, Verdict};

const HOST: &str = "desk.example";
const DEADLINE: Duration = Duration::from_secs(6);
const SERVERS: usize = 4;
/// Every second server spoils one of so many answers.
const SPOILED_PERIOD: usize = 20;
const CONSUMERS: usize = 8;
const REQUESTS_PER_CONSUMER: usize = 60;
const STAMP: &str = "X-Alderhaven-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
const ENCODED: &str =
    "X-Alderhaven-Response-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Encoding: gzip\r\n";
/// The name of the stamp's header with three bytes overwritten.
const DAMAGED: &str = "X-Alderhaven-Re#p##se-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
const BODY: &[u8] = b"the record in full";
const WRONG_BYTES: &[u8] = b"\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\x03";

const BOUNDS: &str = "seed-lag-s = 3\naddr-reuse-s = 2\nstable-window-ms = 4000\n\
    ack-timeout-ms = 5000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\n\
    config-apply-ms = 3000\nrollback-slack-ms = 250\nmax-skew-ms = 12000\n\
    retry-budget-ratio = 0.2\nbudget-window-s = 10\nretry-budget-extra = 56\nrecovery-s = 12\n\
    ttl_max_s = 5\n";

const CONFIG: &str = r#"{"version":7,"routes":[
    {"name":"r-post","hostname":"desk.example","path-prefix":"/record/","route-type":"unsafe",
     "timeout-ms":6000,"target-latency-ms":400,"priority":1,"attempts":2,"backend":"record-view"}],
    "services":[{"name":"record-view","health-path":"/health","max-conns":110,"protocol":"h1",
     "tls":false}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,
     "idle-timeout-ms":15000}}"#;

/// What the consumers counted.
#[derive(Default)]
struct Counts {
    whole: AtomicUsize,
    without_stamp: AtomicUsize,
    wrong_body: AtomicUsize,
    failures: AtomicUsize,
}

pub fn run(setup: CaseSetup) -> Result<Verdict, String> {
    let record = setup.record.clone();
    let workplace = Workplace::create()?;
    let store = Store::start("127.0.0.1")?;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let spoils = setup.has_trouble && number % 2 == 0;
        let answered = AtomicUsize::new(0);
        let script = move |_: &Message| answer(spoils, answered.fetch_add(1, Ordering::SeqCst));
        let server = Backend::start(&format!("i-{number}"), "127.0.0.1", &record, script)?;
        server.register(&store, "record-view", "hall-a");
        servers.push(server);
    }
    store.put("config", "main", CONFIG);
    let shared = SharedSettings {
        store: store.address,
        bounds: BOUNDS,
    };
    let seeds = [workplace.ip(0)];
    let place = MachinePlace {
        role: Role::Front,
        number: 0,
        zone: "hall-a",
        seeds: &seeds,
    };
    let mut front = Machine::prepare(&workplace, &setup.root, &record, &shared, place)?;
    front.start()?;
    deployment::wait_until("the front is ready", || front.is_ready())?;
    record.note("the front is ready");

    let counts = Arc::new(Counts::default());
    let address = front.caller_address();
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (counts, record) = (Arc::clone(&counts), record.clone());
            thread::spawn(move || {
                for number in 0..REQUESTS_PER_CONSUMER {
                    let request = request_of(consumer * REQUESTS_PER_CONSUMER + number);
                    record.event(&format!("sent {}", request.id));
                    let end = request.send(address);
                    count_end(&record, &counts, &request, &end);
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    for consumer in consumers {
        consumer.join().map_err(|_| "a consumer panicked")?;
    }
    let count = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
    record.note(&format!(
        "answers to {} requests: {} whole successes, {} successes without the server's stamp, \
         {} successes whose body is not the server's, {} failures",
        CONSUMERS * REQUESTS_PER_CONSUMER,
        count(&counts.whole),
        count(&counts.without_stamp),
        count(&counts.wrong_body),
        count(&counts.failures),
    ));
    let broken = count(&counts.without_stamp) + count(&counts.wrong_body);
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Builds the answer with this number of a server.
fn answer(spoils: bool, number: usize) -> Answer {
    let is_spoiled = spoils && number % SPOILED_PERIOD == SPOILED_PERIOD / 2;
    let is_first_kind = number / SPOILED_PERIOD % 2 == 0;
    let (extra_headers, body) = match (is_spoiled, is_first_kind) {
        (false, _) => (STAMP, BODY),
        (true, true) => (ENCODED, WRONG_BYTES),
        (true, false) => (DAMAGED, BODY),
    };
    Answer {
        work: Duration::from_millis(20),
        extra_headers,
        body: body.to_vec(),
    }
}

fn request_of(number: usize) -> Request {
    Request {
        method: "POST",
        host: HOST,
        path: format!("/record/{number}"),
        id: format!("{number:016x}"),
        deadline: DEADLINE,
        body: b"a record".to_vec(),
    }
}

/// Checks an answer as the rule does.
fn count_end(record: &Record, counts: &Counts, request: &Request, end: &End) {
    let End::Response(response) = end else {
        record.event(&format!(
            "the consumer of {} gets: {}",
            request.id,
            end.describe()
        ));
        counts.failures.fetch_add(1, Ordering::SeqCst);
        return;
    };
    let stamp = response.header("x-alderhaven-response-stamp");
    let encoding = response.header("content-encoding");
    record.event(&format!(
        "the consumer of {} gets: {}, stamp {stamp:?}, encoding {encoding:?}, {} bytes",
        request.id,
        response.first_line,
        response.body.len()
    ));
    let counter = if !(200..300).contains(&response.status()) {
        &counts.failures
    } else if stamp.is_none() {
        record.note(&format!(
            "MIXED {}: a success without the server's stamp",
            request.id
        ));
        &counts.without_stamp
    } else if encoding.is_some() || response.body != BODY {
        record.note(&format!(
            "MIXED {}: a success with bytes that are not the body",
            request.id
        ));
        &counts.wrong_body
    } else {
        &counts.whole
    };
    counter.fetch_add(1, Ordering::SeqCst);
}
