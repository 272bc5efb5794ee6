//! A history that is made by hand.

use std::net::{IpAddr, Ipv4Addr};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_soak::history_index::HistoryIndex;
use alderhaven_soak::promises::{self, PromiseKind};
use alderhaven_soak::shard_records;
use alderhaven_soak::soak_history::{
    AnswerRecord, ArrivalRecord, ConfigRecord, EvacuationRecord, FrontLife, RequestEnd,
    RequestOutcome, RequestRecord, SoakHistory, TroubleRecord, TroubleSubject,
};
use alderhaven_soak::soak_options::PromiseScope;
use alderhaven_soak::soak_site::{RECORDS, RequestKind, ShardSet};
use bytes::Bytes;

/// The one front.
pub const FRONT: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 200, 0, 1));
/// How long an answer takes.
const ANSWER_TIME: TimeSpan = TimeSpan::from_millis(50);
/// When the history ends, in milliseconds.
const END_MS: u64 = 20_000;

pub fn at(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// The body of an answer that is merged from these shards.
pub fn merged(services: &[String], request_id: &str) -> Bytes {
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    Bytes::from(shard_records::greatest(&services, request_id, RECORDS))
}

/// A `HistoryMaker` holds a history in the making.
pub struct HistoryMaker {
    pub history: SoakHistory,
}

impl HistoryMaker {
    /// A sweep, a record and an order at nine seconds, all served, and enough requests at the end.
    pub fn sound() -> Self {
        let mut maker = Self {
            history: SoakHistory::default(),
        };
        maker.history.lives.push(FrontLife {
            front: FRONT,
            started: at(0),
            asked_to_stop: None,
            is_killed: false,
            ended: None,
        });
        maker.configure(1, &[1], ShardSet::Old, at(0));
        maker.ask("sweep", RequestKind::Sweep, at(9_000));
        maker.ask("record", RequestKind::Record, at(9_000));
        maker.ask("order", RequestKind::Order, at(9_000));
        for number in 0..10 {
            maker.ask(&format!("tail{number}"), RequestKind::Record, at(18_500));
        }
        maker
    }

    pub fn configure(&mut self, version: u64, marks: &[u64], shards: ShardSet, acked: TimePoint) {
        self.history.configs.push(ConfigRecord {
            version,
            acked,
            shards,
            marks: marks.to_vec(),
        });
    }

    /// Adds a request that is served.
    pub fn ask(&mut self, id: &str, kind: RequestKind, sent: TimePoint) {
        let services = kind.services(ShardSet::Old);
        let answer = if kind == RequestKind::Sweep {
            let proofs = services
                .iter()
                .map(|service| format!("d-{service}.a1-{id}"));
            AnswerRecord {
                status: 200,
                is_refusal: false,
                part_proofs: proofs.collect(),
                proof: String::new(),
                missing: 0,
                body: merged(&services, id),
            }
        } else {
            AnswerRecord {
                status: 200,
                is_refusal: false,
                part_proofs: Vec::new(),
                proof: format!("d-{}.a1-{id}", services[0]),
                missing: 0,
                body: Bytes::from(shard_records::body(&services[0], id)),
            }
        };
        let request = RequestRecord {
            kind,
            front: FRONT,
            sent,
            patience: kind.patience(),
            method: kind.method().to_owned(),
            path: kind.path(id),
            body: Bytes::new(),
            end: Some(RequestEnd {
                at: sent + ANSWER_TIME,
                outcome: RequestOutcome::Answered(answer),
            }),
        };
        self.history.requests.insert(id.to_owned(), request);
        for service in &services {
            self.arrive(
                id,
                &format!("{service}.a1"),
                service,
                sent + TimeSpan::from_millis(2),
            );
        }
    }

    /// Adds the arrival of a request at a target that runs and answers it.
    pub fn arrive(&mut self, id: &str, target: &str, service: &str, at: TimePoint) {
        let request = self.history.requests.get(id);
        let kind = request.map_or(RequestKind::Record, |request| request.kind);
        self.history.arrivals.push(ArrivalRecord {
            at,
            target: target.to_owned(),
            service: service.to_owned(),
            request_id: id.to_owned(),
            method: kind.method().to_owned(),
            path: kind.path(id),
            body: Bytes::new(),
            time_left: Some(TimeSpan::from_millis(500)),
            is_run: true,
            is_answered: true,
        });
    }

    /// Evacuates a failure domain.
    pub fn evacuate(&mut self, domain: &str, acked: TimePoint, taken_back: Option<TimePoint>) {
        self.history.evacuations.push(EvacuationRecord {
            domain: domain.to_owned(),
            acked,
            taken_back,
        });
    }

    /// Changes the answer to a request.
    pub fn answer(&mut self, id: &str, change: impl FnOnce(&mut AnswerRecord)) {
        let request = self.history.requests.get_mut(id).expect("a request");
        let end = request.end.as_mut().expect("it has ended");
        let RequestOutcome::Answered(answer) = &mut end.outcome else {
            panic!("it was answered");
        };
        change(answer);
    }

    /// Lets a request end otherwise.
    pub fn end(&mut self, id: &str, outcome: RequestOutcome) {
        let request = self.history.requests.get_mut(id).expect("a request");
        request.end.as_mut().expect("it has ended").outcome = outcome;
    }

    /// Lets a request end otherwise, at another time.
    pub fn end_at(&mut self, id: &str, at: TimePoint, outcome: RequestOutcome) {
        let request = self.history.requests.get_mut(id).expect("a request");
        request.end = Some(RequestEnd { at, outcome });
    }

    pub fn leave(&mut self, target: &str, at: TimePoint) {
        self.history.leavings.push((target.to_owned(), at));
    }

    pub fn disturb(&mut self, subject: TroubleSubject, from: TimePoint, until: TimePoint) {
        self.history.troubles.push(TroubleRecord {
            subject,
            what: "test".to_owned(),
            from,
            until: Some(until),
        });
    }

    /// The promises that are broken, each once.
    pub fn broken(&self, scope: PromiseScope) -> Vec<PromiseKind> {
        let index = HistoryIndex::new(&self.history, at(END_MS));
        let broken = promises::check(&index, scope, true);
        let mut kinds: Vec<PromiseKind> = broken.iter().map(|broken| broken.promise).collect();
        kinds.dedup();
        kinds
    }
}
