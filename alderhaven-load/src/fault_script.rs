//! Faults and changes of a run: from its start, and at the scenario's event.

use std::time::Duration;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::ids::{ServiceName, ShardId, TargetId};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::fleet_control::{self, ControlCall};
use alderhaven_standin::platform_faults::PlatformFaults;
use alderhaven_standin::target_faults::TargetFaults;
use alderhaven_standin::target_server::TargetServer;
use alderhaven_store::object_store::{ConditionalWrite, ObjectStore, WriteOutcome};
use eyre::Result;
use futures::future;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::time::{self, Instant};

use crate::run_options::RunOptions;
use crate::scenario::ScenarioKind;
use crate::test_bed::TestBed;

/// Share of the targets that are silenced, restarted or removed.
const AFFECTED_SHARE: f64 = 0.1;
/// Downtime of a target after a poison request, in milliseconds.
const CRASH_DOWNTIME_MS: u64 = 500;
/// Downtime of a restarted target, in milliseconds.
const RESTART_DOWNTIME_MS: u64 = 200;
/// Factor on run times after a cold start, and its duration in milliseconds.
const COLD_START_FACTOR_AND_MS: (f64, u64) = (10.0, 1_500);
/// How long targets serve a former version, in milliseconds: longer than the deadlines of the
/// urgent and ordinary templates.
const VERSION_GRACE_MS: u64 = 2_500;
/// Pause between the publications of two services.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(300);
/// Lag of the host list, in milliseconds.
const HOST_LIST_LAG_MS: u64 = 1_000;
/// Delay between a target's leaving and its stop, in milliseconds.
const STOP_DELAY_MS: u64 = 3_500;
/// How long the platform is unavailable.
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
/// How long a failure domain is down.
const DOMAIN_DOWNTIME: Duration = Duration::from_secs(2);
/// Number of rounds of concurrent writes, and the pause after each.
const RACE_ROUNDS_AND_PAUSE: (u64, Duration) = (20, Duration::from_millis(100));

/// Applies the faults and changes of a scenario to a running system.
#[derive(Debug)]
pub struct FaultScript<'a> {
    options: &'a RunOptions,
    test_bed: &'a TestBed,
}

impl<'a> FaultScript<'a> {
    /// Creates the script for a started system.
    #[must_use]
    pub const fn new(options: &'a RunOptions, test_bed: &'a TestBed) -> Self {
        Self { options, test_bed }
    }

    /// Turns on the faults that last for the whole run.
    pub fn apply_initial_faults(&self) {
        let all = || self.test_bed.fleet().targets().collect::<Vec<_>>();
        match self.options.scenario {
            ScenarioKind::SlowTarget => {
                let faults = TargetFaults {
                    slow_factor: self.options.slow_factor,
                    ..TargetFaults::default()
                };
                set_faults(&self.pick_affected_targets(self.options.slow_share), faults);
            }
            ScenarioKind::Poison => set_faults(
                &all(),
                TargetFaults {
                    poison_down_ms: Some(CRASH_DOWNTIME_MS),
                    ..TargetFaults::default()
                },
            ),
            ScenarioKind::TargetLeaving => self.test_bed.store().set_faults(PlatformFaults {
                host_lag_ms: HOST_LIST_LAG_MS,
                ..PlatformFaults::default()
            }),
            _ => {}
        }
    }

    /// Waits for the scenario's event time, counted from `started_at`, and executes the event.
    ///
    /// # Errors
    /// Where the platform refuses a change.
    pub async fn run_event(&self, started_at: Instant) -> Result<()> {
        time::sleep_until(started_at + self.options.event_at().as_duration()).await;
        let affected = self.pick_affected_targets(AFFECTED_SHARE);
        match self.options.scenario {
            ScenarioKind::SilentConnections => {
                for target in affected {
                    target.state().lifecycle().silence_connections();
                }
            }
            ScenarioKind::ColdStart => {
                let (cold_factor, cold_ms) = COLD_START_FACTOR_AND_MS;
                let faults = TargetFaults {
                    cold_factor,
                    cold_ms,
                    ..TargetFaults::default()
                };
                set_faults(&affected, faults);
                for target in affected {
                    let downtime = Duration::from_millis(RESTART_DOWNTIME_MS);
                    target.state().lifecycle().crash(downtime);
                }
            }
            ScenarioKind::TargetLeaving => {
                let call = ControlCall::Leave {
                    targets: affected.into_iter().map(target_id).collect(),
                    platform: self.test_bed.platform_address(),
                    stop_after_ms: STOP_DELAY_MS,
                };
                fleet_control::apply_call(self.test_bed.fleet().services(), call).await?;
            }
            ScenarioKind::SnapshotChange => self.change_snapshots().await?,
            ScenarioKind::DomainLoss => self.crash_domain(),
            ScenarioKind::RelayCrash => self.test_bed.crash_relay(),
            ScenarioKind::StoreOutage => {
                self.test_bed.store().set_faults(PlatformFaults {
                    outage: true,
                    hosts_outage: true,
                    ..PlatformFaults::default()
                });
                time::sleep(OUTAGE_DURATION).await;
                self.test_bed.store().set_faults(PlatformFaults::default());
            }
            ScenarioKind::PublishRace => self.race_publications().await,
            _ => {}
        }
        Ok(())
    }

    /// Crashes all targets of the first failure domain.
    fn crash_domain(&self) {
        let domain = |target: &TargetServer| target.state().spec().domain.clone();
        let lost = self.test_bed.fleet().targets().map(domain).min();
        for target in self.test_bed.fleet().targets() {
            if Some(domain(target)) == lost {
                target.state().lifecycle().crash(DOMAIN_DOWNTIME);
            }
        }
    }

    /// Publishes a new version of each service, then halves the number of shards of the first.
    async fn change_snapshots(&self) -> Result<()> {
        let manifests = self.test_bed.manifests();
        let mut changes: Vec<(ServiceName, Option<u32>)> = Vec::new();
        for manifest in &manifests {
            changes.push((manifest.service.clone(), None));
        }
        if let Some(first) = manifests.first() {
            let shards = u32::try_from(first.shards.len()).unwrap_or(1);
            changes.push((first.service.clone(), Some((shards / 2).max(1))));
        }
        for (service, shards) in changes {
            let call = ControlCall::Publish {
                service,
                shards,
                grace_ms: VERSION_GRACE_MS,
                platform: Some(self.test_bed.platform_address()),
            };
            let reply = fleet_control::apply_call(self.test_bed.fleet().services(), call).await?;
            self.test_bed.record_manifests(reply.manifest);
            time::sleep(PUBLISH_INTERVAL).await;
        }
        Ok(())
    }

    /// Lets two operators write a template against the same version; one of them must fail.
    async fn race_publications(&self) {
        let (rounds, pause) = RACE_ROUNDS_AND_PAUSE;
        let Some(mut template) = self.test_bed.last_template() else {
            return;
        };
        let key = ObjectKey {
            kind: ObjectKind::Template,
            name: template.name.to_string(),
        };
        for round in 0..rounds {
            template.deadline = template.deadline + TimeSpan::from_millis(1);
            let body = serde_json::to_string(&template).ok();
            let table = self.test_bed.store().table();
            let expected = table
                .get(&key)
                .map_or(StoreVersion::default(), |stored| stored.version);
            let write = |operator: &str| ConditionalWrite {
                key: key.clone(),
                expected,
                write_id: format!("{operator}-{round}"),
                body: body.clone(),
            };
            let outcomes = future::join_all(
                ["one", "two"].map(|operator| self.test_bed.store().write(write(operator))),
            )
            .await;
            let accepted = outcomes
                .iter()
                .filter(|outcome| matches!(outcome, Ok(WriteOutcome::Written(_))));
            self.test_bed.add_publications(accepted.count());
            time::sleep(pause).await;
        }
    }

    /// Picks a random share of the targets, at most one replica per shard; equal seeds pick equal
    /// targets.
    ///
    /// If all replicas of a shard were affected, no choice of replica could help.
    fn pick_affected_targets(&self, share: f64) -> Vec<&'a TargetServer> {
        let mut targets: Vec<&TargetServer> = self.test_bed.fleet().targets().collect();
        let wanted = rounded_share(targets.len(), share);
        targets.shuffle(&mut StdRng::seed_from_u64(self.options.seed));
        let mut picked_shards: Vec<(ServiceName, ShardId)> = Vec::new();
        targets.retain(|target| {
            let spec = target.state().spec();
            let shard_key = (spec.service.clone(), spec.shard);
            let is_first = picked_shards.len() < wanted && !picked_shards.contains(&shard_key);
            if is_first {
                picked_shards.push(shard_key);
            }
            is_first
        });
        targets
    }
}

fn set_faults(targets: &[&TargetServer], faults: TargetFaults) {
    for target in targets {
        target.state().set_faults(faults);
    }
}

fn target_id(target: &TargetServer) -> TargetId {
    target.state().spec().target.clone()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is at least 0 and at most `count`"
)]
fn rounded_share(count: usize, share: f64) -> usize {
    (count as f64 * share).round() as usize
}
