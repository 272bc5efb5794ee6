//! A builder of histories for the tests of the promise checks.

use std::net::{IpAddr, Ipv4Addr};

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_platform_standin::team_bounds::TeamBounds;
use alderhaven_soak::caller_credential::CallerCredential;
use alderhaven_soak::history_index::HistoryIndex;
use alderhaven_soak::promises::{self, PromiseKind};
use alderhaven_soak::shard_records;
use alderhaven_soak::soak_history::{
    AnswerRecord, ArrivalRecord, ConfigRecord, DisruptionRecord, DisruptionSubject,
    EvacuationRecord, ProcessRecord, RequestEnd, RequestOutcome, RequestRecord, SoakHistory,
};
use alderhaven_soak::soak_options::PromiseScope;
use alderhaven_soak::soak_team::SoakTeam;
use alderhaven_soak::soak_workload::{MERGED_RECORDS, RequestKind, ShardSet};
use bytes::Bytes;

/// The address of the only front.
pub const FRONT_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(127, 200, 0, 1));
/// The time from sending a request to its answer.
const ANSWER_TIME: TimeSpan = TimeSpan::from_millis(50);
/// The end of the history.
const HISTORY_END_MS: u64 = 20_000;

pub fn at_millis(millis: u64) -> TimePoint {
    TimePoint::START + TimeSpan::from_millis(millis)
}

/// Returns the body of an answer that is merged from these shards.
pub fn merged_body(services: &[String], request_id: &str) -> Bytes {
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    Bytes::from(shard_records::greatest_records(
        &services,
        request_id,
        MERGED_RECORDS,
    ))
}

/// Builds a history of one front.
pub struct HistoryBuilder {
    pub history: SoakHistory,
    /// The teams of further configurations.
    pub teams: Vec<SoakTeam>,
}

impl HistoryBuilder {
    /// Creates a history that breaks no promise: one served request of each kind at nine seconds,
    /// and enough served requests at the end.
    pub fn valid() -> Self {
        let mut builder = Self {
            history: SoakHistory::default(),
            teams: Vec::new(),
        };
        builder.history.processes.push(ProcessRecord {
            front: FRONT_ADDRESS,
            started_at: at_millis(0),
            stop_requested_at: None,
            is_killed: false,
            ended_at: None,
        });
        builder.add_config(1, &[1], ShardSet::Old, at_millis(0));
        builder.add_request("sweep", RequestKind::FanOut, at_millis(9_000));
        builder.add_request("record", RequestKind::Record, at_millis(9_000));
        builder.add_request("order", RequestKind::Order, at_millis(9_000));
        for number in 0..10 {
            builder.add_request(
                &format!("tail{number}"),
                RequestKind::Record,
                at_millis(18_500),
            );
        }
        builder
    }

    /// Changes the path of a request, for its caller and its targets.
    pub fn set_path(&mut self, request_id: &str, path: &str) {
        let request = self.history.requests.get_mut(request_id);
        let request = request.expect("the request was added");
        path.clone_into(&mut request.path);
        let arrivals = self.history.arrivals.iter_mut();
        for arrival in arrivals.filter(|arrival| arrival.request_id == request_id) {
            path.clone_into(&mut arrival.path);
        }
    }

    /// Creates a history of a run with two teams that breaks no promise: `amber` without a limit, which
    /// sent all requests, and `birch` with 10 requests per second and a burst of 10.
    pub fn valid_with_teams() -> Self {
        let mut builder = Self::valid();
        builder.history.team_bounds = Some(TeamBounds {
            is_revoke_strict: true,
            revoke_ms: 5_000,
            quota_window_s: 2.0,
            quota_overshoot: 0.1,
            quota_slack: 7.0,
        });
        builder.teams = vec![
            SoakTeam::new("amber", 0, 0.0, 0.0),
            SoakTeam::new("birch", 1, 10.0, 10.0),
        ];
        builder.history.configs[0].teams.clone_from(&builder.teams);
        let ids: Vec<String> = builder.history.requests.keys().cloned().collect();
        for id in ids {
            builder.set_team(&id, 0);
        }
        builder
    }

    /// Lets a team send a request, with the second one of its present keys.
    pub fn set_team(&mut self, id: &str, team: usize) {
        let team = self.teams[team].clone();
        self.set_credential(id, CallerCredential::Key(team.keys[1].clone()));
        let arrivals = self.history.arrivals.iter_mut();
        for arrival in arrivals.filter(|arrival| arrival.request_id == id) {
            arrival.teams = vec![team.name.clone()];
        }
    }

    /// Replaces the credential of a request.
    pub fn set_credential(&mut self, id: &str, credential: CallerCredential) {
        let request = self.history.requests.get_mut(id);
        request.expect("the request was added").credential = credential;
    }

    /// Adds served requests of a team at regular intervals.
    pub fn add_team_requests(
        &mut self,
        team: usize,
        count: u64,
        from: TimePoint,
        interval: TimeSpan,
    ) {
        for number in 0..count {
            let id = format!("team{team}from{}x{number}", from.as_micros());
            let sent_at = from + TimeSpan::from_micros(interval.as_micros() * number);
            self.add_request(&id, RequestKind::Record, sent_at);
            self.set_team(&id, team);
        }
    }

    /// Removes the arrivals of a request, and answers it with a status.
    pub fn refuse(&mut self, id: &str, status: u16) {
        let arrivals = &mut self.history.arrivals;
        arrivals.retain(|arrival| arrival.request_id != id);
        self.edit_answer(id, |answer| {
            answer.status = status;
            answer.is_refusal = status != 401;
            answer.proof = String::new();
        });
    }

    pub fn add_config(
        &mut self,
        version: u64,
        version_routes: &[u64],
        shards: ShardSet,
        accepted_at: TimePoint,
    ) {
        self.history.configs.push(ConfigRecord {
            version,
            accepted_at,
            shards,
            version_routes: version_routes.to_vec(),
            teams: self.teams.clone(),
        });
    }

    /// Adds a request that is served after [`ANSWER_TIME`], with its arrivals at targets.
    pub fn add_request(&mut self, id: &str, kind: RequestKind, sent_at: TimePoint) {
        let services = kind.services(ShardSet::Old);
        let answer = if kind == RequestKind::FanOut {
            let proofs = services
                .iter()
                .map(|service| format!("d-{service}.a1-{id}"));
            AnswerRecord {
                status: 200,
                is_refusal: false,
                part_proofs: proofs.collect(),
                proof: String::new(),
                missing: 0,
                retry_after: None,
                body: merged_body(&services, id),
            }
        } else {
            AnswerRecord {
                status: 200,
                is_refusal: false,
                part_proofs: Vec::new(),
                proof: format!("d-{}.a1-{id}", services[0]),
                missing: 0,
                retry_after: None,
                body: Bytes::from(shard_records::response_body(&services[0], id)),
            }
        };
        let request = RequestRecord {
            kind,
            front: FRONT_ADDRESS,
            sent_at,
            timeout: kind.timeout(),
            method: kind.method().to_owned(),
            path: kind.path(id),
            body: Bytes::new(),
            credential: CallerCredential::Missing,
            end: Some(RequestEnd {
                at: sent_at + ANSWER_TIME,
                outcome: RequestOutcome::Answered(answer),
            }),
        };
        self.history.requests.insert(id.to_owned(), request);
        for service in &services {
            self.add_arrival(
                id,
                &format!("{service}.a1"),
                service,
                sent_at + TimeSpan::from_millis(2),
            );
        }
    }

    /// Adds the arrival of a request at a target that runs and answers it.
    pub fn add_arrival(&mut self, id: &str, target: &str, service: &str, at: TimePoint) {
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
            teams: Vec::new(),
            has_key: false,
            time_left: Some(TimeSpan::from_millis(500)),
            is_run: true,
            is_answered: true,
        });
    }

    /// Adds an evacuation of a failure domain.
    pub fn add_evacuation(
        &mut self,
        domain: &str,
        accepted_at: TimePoint,
        revoked_at: Option<TimePoint>,
    ) {
        self.history.evacuations.push(EvacuationRecord {
            domain: domain.to_owned(),
            accepted_at,
            revoked_at,
        });
    }

    /// Edits the answer to a request.
    pub fn edit_answer(&mut self, id: &str, change: impl FnOnce(&mut AnswerRecord)) {
        let request = self
            .history
            .requests
            .get_mut(id)
            .expect("the request was added");
        let end = request.end.as_mut().expect("the request has ended");
        let RequestOutcome::Answered(answer) = &mut end.outcome else {
            panic!("request {id} has no answer");
        };
        change(answer);
    }

    /// Replaces the outcome of a request.
    pub fn set_outcome(&mut self, id: &str, outcome: RequestOutcome) {
        let request = self
            .history
            .requests
            .get_mut(id)
            .expect("the request was added");
        request.end.as_mut().expect("the request has ended").outcome = outcome;
    }

    /// Replaces the time and outcome of a request's end.
    pub fn set_end(&mut self, id: &str, at: TimePoint, outcome: RequestOutcome) {
        let request = self
            .history
            .requests
            .get_mut(id)
            .expect("the request was added");
        request.end = Some(RequestEnd { at, outcome });
    }

    pub fn add_leaving_target(&mut self, target: &str, at: TimePoint) {
        self.history.leaving_targets.push((target.to_owned(), at));
    }

    pub fn add_disruption(
        &mut self,
        subject: DisruptionSubject,
        from: TimePoint,
        until: TimePoint,
    ) {
        self.history.disruptions.push(DisruptionRecord {
            subject,
            kind: "test".to_owned(),
            from,
            until: Some(until),
        });
    }

    /// Returns the kinds of broken promises, without consecutive duplicates.
    pub fn broken_promises(&self, scope: PromiseScope) -> Vec<PromiseKind> {
        let index = HistoryIndex::new(&self.history, at_millis(HISTORY_END_MS));
        let violations = promises::check(&index, scope, true);
        let mut kinds: Vec<PromiseKind> = violations
            .iter()
            .map(|violation| violation.promise)
            .collect();
        kinds.dedup();
        kinds
    }
}
