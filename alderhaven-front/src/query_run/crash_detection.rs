//! Detects attempts that were lost because the target's process crashed, and publishes crash
//! strikes.
//!
//! Only shards that remain unanswered are probed, after their request has ended: a reset
//! connection or a lost reply is far more common than a crash, and a request that another replica
//! answers is not at fault.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimePoint;
use alderhaven_core::wall_clock;
use alderhaven_policy::crash_strike::CrashStrike;
use log::Level;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::catalog::Catalog;
use crate::front_event::FrontEvent;
use crate::front_metrics::UnexaminedReason;
use crate::query_run::QueryRun;
use crate::target_handle::TargetHandle;

/// The most lost attempts of a request that are probed. Crashes of two targets suffice for a
/// quarantine, and each probe opens a connection.
const MAX_CRASH_PROBES: usize = 4;

/// Timeout of a probe. A host whose process is gone refuses the connection almost at once.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A target that lost an attempt and may have crashed.
pub(super) struct CrashSuspect {
    shard: usize,
    target: Arc<TargetHandle>,
    /// Attempts of this process that were in flight at the target, the lost one included.
    in_flight: usize,
    lost_at: TimePoint,
}

impl QueryRun<'_> {
    /// Records a sent attempt whose connection ended without a reply.
    pub(super) fn suspect_crash(&mut self, shard: usize, target: &Arc<TargetHandle>) {
        if self.crash_suspects.len() < MAX_CRASH_PROBES {
            self.crash_suspects.push(CrashSuspect {
                shard,
                target: Arc::clone(target),
                in_flight: target.stats().in_flight() + 1,
                lost_at: self.context.clock.now(),
            });
        } else {
            self.context
                .metrics
                .observe_unexamined_loss(UnexaminedReason::OverLimit);
        }
    }

    /// Probes the suspects of unanswered shards in the background, without delaying the answer.
    pub(super) fn probe_crash_suspects(&mut self) {
        let mut suspects = std::mem::take(&mut self.crash_suspects);
        let total = suspects.len();
        suspects.retain(|suspect| self.shards[suspect.shard].reply.is_none());
        for _ in suspects.len()..total {
            self.context
                .metrics
                .observe_unexamined_loss(UnexaminedReason::Answered);
        }
        if suspects.is_empty() {
            return;
        }
        let catalog = Arc::clone(&self.context.catalog);
        let fingerprint = self.call.fingerprint();
        let request = self.call.request_id.to_string();
        let clock = self.context.clock;
        tokio::spawn(async move {
            let strikes = probe_suspects(suspects, clock).await;
            if !strikes.is_empty() {
                publish_crashes(&catalog, request, fingerprint, strikes);
            }
        });
    }

    /// Clears the strikes of shards that have answered, and publishes the change.
    pub(super) fn clear_strikes(&self) {
        let catalog = &self.context.catalog;
        if !catalog.crashes().has_strikes() {
            return;
        }
        let fingerprint = self.call.fingerprint();
        let shards = self.shards.iter().zip(0..);
        for (_, index) in shards.filter(|(shard, _)| shard.reply.is_some()) {
            let wall_millis = wall_clock::unix_millis();
            let tracker = catalog.crashes();
            if let Some(body) = tracker.record_answer(&fingerprint, ShardId(index), wall_millis) {
                let _is_published = catalog.publish_strikes(&fingerprint, body, wall_millis);
            }
        }
    }
}

async fn probe_suspects(suspects: Vec<CrashSuspect>, clock: ProcessClock) -> Vec<CrashStrike> {
    let mut strikes = Vec::new();
    for suspect in suspects {
        if refuses_connections(&suspect.target).await {
            strikes.extend(build_strike(&suspect, clock.now()));
        }
    }
    strikes
}

/// Returns `true` if the host refuses connections, which means that the target's process is gone.
async fn refuses_connections(target: &TargetHandle) -> bool {
    let connecting = TcpStream::connect(target.entry().address);
    let probed = time::timeout(CRASH_PROBE_TIMEOUT, connecting).await;
    probed.is_ok_and(|opened| {
        opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    })
}

/// Builds the strike. Returns `None` if the target id is invalid or the target has no failure
/// domain.
fn build_strike(suspect: &CrashSuspect, now: TimePoint) -> Option<CrashStrike> {
    let entry = suspect.target.entry();
    Some(CrashStrike {
        crash_id: rand::rng().random(),
        target: entry.id.parse().ok()?,
        domain: entry.domain.clone()?,
        shard: ShardId(u32::try_from(suspect.shard).unwrap_or(u32::MAX)),
        in_flight: u32::try_from(suspect.in_flight).unwrap_or(u32::MAX),
        at: suspect.lost_at.min(now),
        cleared: false,
    })
}

fn publish_crashes(
    catalog: &Catalog,
    request: String,
    fingerprint: RequestFingerprint,
    strikes: Vec<CrashStrike>,
) {
    let targets = strikes.iter().map(|strike| strike.target.to_string());
    let targets = targets.collect();
    let in_flight = strikes.iter().map(|strike| strike.in_flight).collect();
    let wall_millis = wall_clock::unix_millis();
    let body = catalog
        .crashes()
        .record_strikes(fingerprint, strikes, wall_millis);
    let is_published =
        body.is_some_and(|body| catalog.publish_strikes(&fingerprint, body, wall_millis));
    FrontEvent::TargetsCrashed {
        request,
        fingerprint: fingerprint.to_string(),
        targets,
        in_flight,
        is_published,
    }
    .emit(Level::Warn);
}
