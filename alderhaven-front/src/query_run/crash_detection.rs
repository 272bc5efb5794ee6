//! Whether attempts were lost because their targets' processes died, and what follows from it.
//!
//! Most lost attempts have other causes: an answer that was lost on its way, a connection that was
//! reset. Only a shard that stays unanswered is looked into, after its request has ended: a request
//! that another replica answered has crashed nothing.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::ShardId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimePoint;
use alderhaven_policy::crash_strike::CrashStrike;
use log::Level;
use rand::RngExt;
use tokio::net::TcpStream;
use tokio::time;

use crate::catalog::Catalog;
use crate::front_event::FrontEvent;
use crate::query_run::QueryRun;
use crate::target_handle::TargetHandle;
use crate::wall_clock;

/// The lost attempts of a request that are looked into: two targets are enough for a judgement, and
/// each look is a connection.
const MAX_CRASH_PROBES: usize = 4;

/// How long a look waits: a host whose process is gone refuses within a millisecond or two.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// A `CrashSuspect` is a target that lost an attempt.
pub(super) struct CrashSuspect {
    shard: usize,
    target: Arc<TargetHandle>,
    /// The attempts of this process that were at the target.
    in_flight: usize,
    lost_at: TimePoint,
}

impl QueryRun<'_> {
    /// Notes that an attempt was sent and its connection ended without an answer.
    pub(super) fn suspect_crash(&mut self, shard: usize, target: &Arc<TargetHandle>) {
        if self.crash_suspects.len() < MAX_CRASH_PROBES {
            self.crash_suspects.push(CrashSuspect {
                shard,
                target: Arc::clone(target),
                in_flight: target.stats().in_flight() + 1,
                lost_at: self.context.clock.now(),
            });
        }
    }

    /// Looks into the lost attempts of shards that stay unanswered, beside the answer's way.
    pub(super) fn probe_crash_suspects(&mut self) {
        let mut suspects = std::mem::take(&mut self.crash_suspects);
        suspects.retain(|suspect| self.shards[suspect.shard].reply.is_none());
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

    /// Clears the strikes of shards that have answered.
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
                catalog.publish_strikes(&fingerprint, body, wall_millis);
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

/// Returns true where the target's host refuses connections: its process is gone.
async fn refuses_connections(target: &TargetHandle) -> bool {
    let connecting = TcpStream::connect(target.entry().address);
    let probed = time::timeout(CRASH_PROBE_TIMEOUT, connecting).await;
    probed.is_ok_and(|opened| {
        opened.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused)
    })
}

/// Returns the strike; none where the target has a name or a domain that the product does not allow.
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
    FrontEvent::TargetsCrashed {
        request,
        fingerprint: fingerprint.to_string(),
        targets: targets.collect(),
    }
    .emit(Level::Warn);
    let wall_millis = wall_clock::unix_millis();
    if let Some(body) = catalog
        .crashes()
        .record_strikes(fingerprint, strikes, wall_millis)
    {
        catalog.publish_strikes(&fingerprint, body, wall_millis);
    }
}
