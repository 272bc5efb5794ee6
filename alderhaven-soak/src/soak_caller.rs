//! A caller: finds a front through a directory, keeps one connection while it can be reused, and
//! sends requests sequentially.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use alderhaven_core::time::TimeSpan;
use alderhaven_platform_standin::caller_client::{self, CallerConnection, CallerRequest};
use alderhaven_platform_standin::caller_headers::CallerHeaders;
use alderhaven_platform_standin::caller_reply::CallerReply;
use alderhaven_platform_standin::front_settings::FrontSettings;
use bytes::Bytes;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::time;

use crate::caller_credential::CallerCredential;
use crate::directory_cache::DirectoryCache;
use crate::soak_history::{AnswerRecord, HistoryLog, RequestEnd, RequestOutcome, RequestRecord};
use crate::soak_workload::{DOMAINS, RequestKind};

/// The timeout of a directory query and of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The pause after a directory or a front that can't be reached.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(30);
/// How long a caller waits beyond its announced timeout, so that late answers are recorded.
const LATE_ANSWER_WAIT: TimeSpan = TimeSpan::from_millis(1_000);
/// The share of requests that the caller abandons early.
const ABANDONED_SHARE: f64 = 0.03;
/// The upper bound of the pause between two requests.
const MAX_THINK_TIME_MS: u64 = 40;
/// The longest pause after a refusal in a run with teams.
const MAX_TEAM_REFUSAL_WAIT: Duration = Duration::from_millis(100);
/// The percentage of requests with a key of one of the last configurations, possibly removed since.
const OUTDATED_PERCENT: u32 = 15;
/// How many of the last configurations such keys are from.
const MAX_OUTDATED_CONFIGS: usize = 30;
/// The share of requests that belong to the surging team.
const SURGE_SHARE: f64 = 0.8;
/// The share of orders that need seconds, in a run with such requests.
const LONG_ORDER_SHARE: f64 = 0.15;
/// The share of requests with team headers.
const SPOOFED_SHARE: f64 = 0.2;

/// A caller, which sends random requests and records them in the history.
#[derive(Debug)]
pub struct SoakCaller {
    number: usize,
    sent_count: usize,
    log: HistoryLog,
    fronts: Vec<FrontSettings>,
    rng: StdRng,
    open_connection: Option<(IpAddr, CallerConnection)>,
    /// Fronts that are cached, in a run with requests that need seconds.
    directory_cache: Option<DirectoryCache>,
}

impl SoakCaller {
    /// Creates a caller that looks up fronts in the directories of `fronts`.
    #[must_use]
    pub const fn new(
        number: usize,
        log: HistoryLog,
        fronts: Vec<FrontSettings>,
        rng: StdRng,
    ) -> Self {
        Self {
            number,
            sent_count: 0,
            log,
            fronts,
            rng,
            open_connection: None,
            directory_cache: None,
        }
    }

    /// Makes the caller cache directory answers and send requests that need seconds.
    #[must_use]
    pub fn with_directory_cache(mut self, cache: Option<DirectoryCache>) -> Self {
        self.directory_cache = cache;
        self
    }

    /// Sends requests until the future is dropped.
    pub async fn run(mut self) {
        loop {
            let connected = match self.open_connection.take() {
                Some((front, connection)) if !connection.is_closed() => Some((front, connection)),
                _ => self.connect().await,
            };
            match connected {
                Some((front, connection)) => self.send_request(front, connection).await,
                None => time::sleep(CONNECT_RETRY_DELAY).await,
            }
            let think_time = Duration::from_millis(self.rng.random_range(0..MAX_THINK_TIME_MS));
            time::sleep(think_time).await;
        }
    }

    async fn connect(&mut self) -> Option<(IpAddr, CallerConnection)> {
        let cached = self.directory_cache.as_ref();
        if let Some(front) = cached.and_then(|cache| cache.choose(&mut self.rng)) {
            return self.open(front).await;
        }
        let directory_index = self.rng.random_range(0..self.fronts.len());
        let directory = self.fronts[directory_index].directory_address();
        let domain = DOMAINS[self.rng.random_range(0..DOMAINS.len())];
        let fronts = caller_client::find_fronts(directory, domain);
        let fronts = time::timeout(CONNECT_TIMEOUT, fronts).await.ok()??;
        if fronts.is_empty() {
            return None;
        }
        if let Some(cache) = &mut self.directory_cache {
            cache.store(&fronts);
        }
        let front = fronts[self.rng.random_range(0..fronts.len())];
        self.open(front).await
    }

    async fn open(&mut self, front: SocketAddr) -> Option<(IpAddr, CallerConnection)> {
        let opened = time::timeout(CONNECT_TIMEOUT, CallerConnection::open(front)).await;
        let opened = opened.ok().flatten();
        if opened.is_none()
            && let Some(cache) = &mut self.directory_cache
        {
            cache.remove(front);
        }
        Some((front.ip(), opened?))
    }

    /// Sends one request and keeps the connection if it can be reused.
    async fn send_request(&mut self, front: IpAddr, mut connection: CallerConnection) {
        let kind = self.draw_kind();
        self.sent_count += 1;
        let request_id = format!("q{}x{}", self.number, self.sent_count);
        let credential = self.draw_credential();
        let headers = self.draw_headers(&credential);
        let request = self.start_request(&request_id, kind, front, credential);
        let max_wait = (kind.timeout() + LATE_ANSWER_WAIT).as_duration();
        let abandons = self.rng.random_bool(ABANDONED_SHARE);
        let timeout = if abandons {
            Duration::from_millis(self.rng.random_range(1..60))
        } else {
            max_wait
        };
        let reply = time::timeout(timeout, connection.send_with_headers(&request, &headers)).await;
        let outcome = match &reply {
            Ok(Some(reply)) => RequestOutcome::Answered(answer_record(reply)),
            Ok(None) => RequestOutcome::Closed,
            Err(_) if abandons => RequestOutcome::Abandoned,
            Err(_) => RequestOutcome::Unanswered,
        };
        let is_reusable = matches!(&reply, Ok(Some(reply)) if !reply.closes_connection());
        if is_reusable {
            self.open_connection = Some((front, connection));
        } else {
            drop(connection);
        }
        self.record_outcome(&request_id, outcome);
        if let Ok(Some(reply)) = &reply
            && let Some(wait) = reply.retry_after()
        {
            time::sleep(wait.min(self.max_refusal_wait())).await;
        }
    }

    fn draw_kind(&mut self) -> RequestKind {
        match self.rng.random_range(0..100) {
            0..45 => RequestKind::FanOut,
            45..65 => RequestKind::Record,
            65..85 => self.draw_order(),
            _ => self
                .draw_version_route()
                .map_or(RequestKind::Record, RequestKind::VersionRoute),
        }
    }

    /// Draws whether an order needs seconds, in a run with such requests.
    fn draw_order(&mut self) -> RequestKind {
        if self.directory_cache.is_some() && self.rng.random_bool(LONG_ORDER_SHARE) {
            RequestKind::LongOrder
        } else {
            RequestKind::Order
        }
    }

    /// Draws a version route of one of the three newest configurations, which the newest may have
    /// removed.
    fn draw_version_route(&mut self) -> Option<u64> {
        let history = self.log.lock();
        let mut versions: Vec<u64> = history
            .configs
            .iter()
            .rev()
            .take(3)
            .flat_map(|config| config.version_routes.clone())
            .collect();
        drop(history);
        versions.sort_unstable();
        versions.dedup();
        if versions.is_empty() {
            return None;
        }
        Some(versions[self.rng.random_range(0..versions.len())])
    }

    /// Returns the longest pause after a refusal. Callers of teams come back before they should, so
    /// that teams send far more than their limits allow.
    fn max_refusal_wait(&self) -> Duration {
        let has_teams = self.log.lock().team_bounds.is_some();
        if has_teams {
            MAX_TEAM_REFUSAL_WAIT
        } else {
            Duration::MAX
        }
    }

    /// Draws a valid, outdated or invalid credential. Nothing is drawn in a run without teams.
    fn draw_credential(&mut self) -> CallerCredential {
        let (config_count, surging_team) = {
            let history = self.log.lock();
            let has_teams = history.team_bounds.is_some();
            (
                history.configs.len() * usize::from(has_teams),
                history.surging_team,
            )
        };
        if config_count == 0 {
            return CallerCredential::Missing;
        }
        let draw = self.rng.random_range(0..100);
        // The latest configuration, or one of the last few, whose keys may have been removed.
        let age = if draw < OUTDATED_PERCENT {
            self.rng
                .random_range(0..config_count.min(MAX_OUTDATED_CONFIGS))
        } else {
            0
        };
        let is_in_surge = self.rng.random_bool(SURGE_SHARE);
        let (team, key) = (
            self.rng.random_range(0..64_usize),
            self.rng.random_range(0..64_usize),
        );
        let team = surging_team.filter(|_| is_in_surge).unwrap_or(team);
        let key = {
            let history = self.log.lock();
            let teams = &history.configs[config_count - 1 - age].teams;
            let keys = &teams[team % teams.len()].keys;
            keys[key % keys.len()].clone()
        };
        match draw {
            0..90 => CallerCredential::Key(key),
            90..93 => CallerCredential::Missing,
            93..96 => CallerCredential::UnknownKey(format!("{key}-unknown")),
            96..98 => CallerCredential::Doubled(key),
            _ => CallerCredential::Malformed(key),
        }
    }

    /// Builds the headers of a credential, some of them with team headers that callers may not set.
    fn draw_headers(&mut self, credential: &CallerCredential) -> CallerHeaders {
        let mut headers = credential.headers();
        let teams: Vec<String> = {
            let history = self.log.lock();
            let teams = history.configs.last().map(|config| &config.teams);
            teams
                .into_iter()
                .flatten()
                .map(|team| team.name.clone())
                .collect()
        };
        if teams.is_empty() || !self.rng.random_bool(SPOOFED_SHARE) {
            return headers;
        }
        for _ in 0..self.rng.random_range(1..=2) {
            headers = headers.and_spoofed_team(&teams[self.rng.random_range(0..teams.len())]);
        }
        if self.rng.random_bool(0.5) {
            headers = headers.and_connection_team();
        }
        headers
    }

    fn start_request(
        &self,
        request_id: &str,
        kind: RequestKind,
        front: IpAddr,
        credential: CallerCredential,
    ) -> CallerRequest {
        let body = match kind {
            RequestKind::Order | RequestKind::LongOrder => {
                Bytes::from(format!("order {request_id}"))
            }
            _ => Bytes::new(),
        };
        let request = CallerRequest {
            method: kind.method().to_owned(),
            path: kind.path(request_id),
            request_id: request_id.to_owned(),
            timeout: kind.timeout().as_duration(),
            body,
        };
        let record = RequestRecord {
            kind,
            front,
            sent_at: self.log.now(),
            timeout: kind.timeout(),
            method: request.method.clone(),
            path: request.path.clone(),
            body: request.body.clone(),
            credential,
            end: None,
        };
        let mut history = self.log.lock();
        history.requests.insert(request_id.to_owned(), record);
        request
    }

    fn record_outcome(&self, request_id: &str, outcome: RequestOutcome) {
        let at = self.log.now();
        if let Some(record) = self.log.lock().requests.get_mut(request_id) {
            record.end = Some(RequestEnd { at, outcome });
        }
    }
}

/// Returns what the history keeps of a reply.
pub(crate) fn answer_record(reply: &CallerReply) -> AnswerRecord {
    AnswerRecord {
        status: reply.status.as_u16(),
        is_refusal: reply.is_refusal(),
        part_proofs: reply.proofs().into_iter().map(str::to_owned).collect(),
        proof: reply.proof().to_owned(),
        missing: reply.missing_shards(),
        retry_after: reply.retry_after().map(TimeSpan::from),
        body: reply.body.clone(),
    }
}
