//! Callers of requests that crash each target that runs them.

use std::net::IpAddr;
use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::caller_client::{self, CallerRequest};
use alderhaven_platform_standin::front_settings::FrontSettings;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time;
use tokio::time::Instant;

use crate::caller_credential::CallerCredential;
use crate::soak_caller;
use crate::soak_history::{HistoryLog, RequestEnd, RequestOutcome, RequestRecord};
use crate::soak_workload::RequestKind;

/// The pause between two sends of the request.
const SEND_PAUSE_MS: std::ops::Range<u64> = 50..1_200;
/// The most copies of the request that are sent at once.
const MAX_COPIES: usize = 3;

/// Sends one request, whose path stays the same, again and again to any front.
#[derive(Debug)]
pub struct CrashCaller {
    number: u64,
    kind: RequestKind,
    log: HistoryLog,
    fronts: Vec<FrontSettings>,
    rng: StdRng,
}

impl CrashCaller {
    /// Returns true if a seed's run has requests that crash targets.
    #[must_use]
    pub fn is_drawn(seed: u64) -> bool {
        StdRng::seed_from_u64(seed.rotate_left(7)).random_bool(0.5)
    }

    /// Creates the callers of a run: one of a query over all shards and one of a lookup.
    #[must_use]
    pub fn of_seed(seed: u64, log: &HistoryLog, fronts: &[FrontSettings]) -> Vec<Self> {
        let kinds = [RequestKind::FanOut, RequestKind::Record];
        let callers = kinds.into_iter().zip(0..).map(|(kind, number)| Self {
            number,
            kind,
            log: log.clone(),
            fronts: fronts.to_vec(),
            rng: StdRng::seed_from_u64(seed.rotate_left(9) ^ number),
        });
        callers.collect()
    }

    /// Sends the request until `end`.
    pub async fn run(mut self, end: Instant) {
        for round in 0.. {
            let pause = Duration::from_millis(self.rng.random_range(SEND_PAUSE_MS));
            time::sleep(pause).await;
            if Instant::now() >= end {
                return;
            }
            let copies = self.rng.random_range(1..=MAX_COPIES);
            let fronts: Vec<usize> = (0..copies)
                .map(|_| self.rng.random_range(0..self.fronts.len()))
                .collect();
            let sends = fronts
                .iter()
                .enumerate()
                .map(|(copy, front)| self.send(round, copy, &self.fronts[*front]));
            futures::future::join_all(sends).await;
        }
    }

    async fn send(&self, round: usize, copy: usize, front: &FrontSettings) {
        let request_id = format!("c{}x{round}x{copy}", self.number);
        let request = CallerRequest {
            method: self.kind.method().to_owned(),
            path: self.kind.path(&format!("crash-{}", self.number)),
            request_id: request_id.clone(),
            timeout: self.kind.timeout().as_duration(),
            body: Bytes::new(),
        };
        self.record_sent(&request, front.ip);
        let sent = caller_client::send_once(front.caller_address(), &request);
        let outcome = match time::timeout(self.max_wait(), sent).await {
            Ok(Some(reply)) => RequestOutcome::Answered(soak_caller::answer_record(&reply)),
            Ok(None) => RequestOutcome::Closed,
            Err(_) => RequestOutcome::Unanswered,
        };
        let at = self.log.now();
        if let Some(record) = self.log.lock().requests.get_mut(&request_id) {
            record.end = Some(RequestEnd { at, outcome });
        }
    }

    fn max_wait(&self) -> Duration {
        (self.kind.timeout() + TimeSpan::from_secs(1)).as_duration()
    }

    fn record_sent(&self, request: &CallerRequest, front: IpAddr) {
        let record = RequestRecord {
            kind: self.kind,
            front,
            sent_at: self.log.now(),
            timeout: self.kind.timeout(),
            method: request.method.clone(),
            path: request.path.clone(),
            body: Bytes::new(),
            credential: CallerCredential::Missing,
            end: None,
        };
        let mut history = self.log.lock();
        history.requests.insert(request.request_id.clone(), record);
    }
}
