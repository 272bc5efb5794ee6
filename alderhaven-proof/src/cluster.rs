//! A cluster under test: platform, targets, relays and entries as child processes.

use std::net::SocketAddr;

use alderhaven_core::ids::{ShardId, SnapshotId};
use alderhaven_core::manifest::{ReplicaEntry, ShardEntry, SnapshotManifest};
use alderhaven_core::time::TimeSpan;
use alderhaven_standin::object_set::ObjectSet;
use alderhaven_standin::run_log::RunRecord;
use alderhaven_standin::service_layout::ServiceLayout;
use eyre::{OptionExt, Result};
use serde_json::{Value, json};

use crate::caller::CallerQuery;
use crate::child_process::ChildProcess;
use crate::cluster_options::{ClusterOptions, TestBinaries};
use crate::condition;
use crate::operator_view;
use crate::scratch_directory::ScratchDirectory;

/// The duration of each phase of a planned stop in a group, and how long callers keep the addresses
/// of entries.
const STOP_PHASE_DURATION: &str = "300ms";

/// A running cluster. Dropping it kills all its processes.
#[derive(Debug)]
pub struct TestCluster {
    /// The process of the platform stand-in.
    pub platform: ChildProcess,
    /// The target processes; each runs one target for every shard.
    pub targets: Vec<ChildProcess>,
    /// The relay processes, by number.
    pub relays: Vec<ChildProcess>,
    /// The entry processes, by number.
    pub entries: Vec<ChildProcess>,
    /// The manifest that was published at the start.
    pub manifest: SnapshotManifest,
    pub(crate) binaries: TestBinaries,
    pub(crate) files: ScratchDirectory,
    /// The path of the file with the platform's initial objects.
    pub(crate) objects_file: String,
    objects_revision: u64,
    is_group: bool,
    link_silence: Option<TimeSpan>,
}

impl TestCluster {
    /// Starts all processes and waits until every entry has the whole configuration and all relays.
    ///
    /// # Errors
    /// A process can't be started or is not ready in time.
    pub async fn start(binaries: TestBinaries, options: &ClusterOptions) -> Result<Self> {
        let files = ScratchDirectory::new(&binaries.scratch_base)?;
        let layout = options.layout()?;
        let targets = start_targets(&binaries, &files, options, &layout)?;
        let manifest = build_manifest(&targets, 0, options, &layout, SnapshotId(1))?;
        let objects = ObjectSet {
            templates: options.templates()?,
            teams: vec![options.team()?],
            manifests: vec![manifest.clone()],
        };
        let revision = objects.objects()?.len() as u64;
        let loaded = files.write_json("objects.yaml", &objects)?;
        let arguments = ["platform".to_owned(), "--load".to_owned(), loaded.clone()];
        let platform = ChildProcess::start("platform", &binaries.standin, &arguments)?;
        let mut cluster = Self {
            platform,
            targets,
            relays: Vec::new(),
            entries: Vec::new(),
            manifest,
            binaries,
            files,
            objects_file: loaded,
            objects_revision: revision,
            is_group: options.is_group,
            link_silence: options.link_silence,
        };
        for _ in 0..options.relays {
            cluster.start_relay()?;
        }
        for _ in 0..options.entries {
            let number = cluster.start_entry()?;
            cluster.await_entry_ready(number, options.relays).await?;
        }
        Ok(cluster)
    }

    /// Starts another relay and returns its number.
    ///
    /// # Errors
    /// The relay can't be started.
    pub fn start_relay(&mut self) -> Result<usize> {
        let number = self.relays.len();
        let settings = self.node_settings(&format!("relay-{number}"))?;
        let relay = self.start_node(&format!("relay-{number}"), &settings, true)?;
        self.relays.push(relay);
        Ok(number)
    }

    /// Starts another entry and returns its number, without waiting until it is ready.
    ///
    /// # Errors
    /// The entry can't be started.
    pub fn start_entry(&mut self) -> Result<usize> {
        let number = self.entries.len();
        let mut settings = self.node_settings(&format!("entry-{number}"))?;
        let relays: Result<Vec<SocketAddr>> = self
            .relays
            .iter()
            .map(|relay| relay.address("peer"))
            .collect();
        settings["listen"] = json!("127.0.0.1:0");
        if let Some(silence) = self.link_silence {
            settings["links"] = json!({ "max_silence": silence });
        }
        if self.is_group {
            settings["answers"] = json!({ "ttl": STOP_PHASE_DURATION });
            settings["stop"]["address_life"] = json!(STOP_PHASE_DURATION);
        } else {
            settings["relays"] = json!(relays?);
        }
        let entry = self.start_node(&format!("entry-{number}"), &settings, false)?;
        self.entries.push(entry);
        Ok(number)
    }

    /// Waits until an entry has the whole configuration and exactly `relays` usable relays.
    ///
    /// # Errors
    /// The condition does not hold in time.
    pub async fn await_entry_ready(&self, number: usize, relays: usize) -> Result<()> {
        let operator = self.entries[number].address("operator")?;
        let revision = self.objects_revision;
        condition::until(
            &format!("entry {number} with {relays} relays"),
            async || {
                let known = operator_view::config_revision(operator).await?;
                let usable = operator_view::usable_relay_count(operator).await?;
                Ok((known >= Some(revision) && usable == relays).then_some(()))
            },
        )
        .await
    }

    /// Returns the address of an entry for callers.
    ///
    /// # Errors
    /// The entry reported no address.
    pub fn entry_address(&self, number: usize) -> Result<SocketAddr> {
        self.entries[number].address("listen")
    }

    /// Returns the runs of a query at one target process.
    ///
    /// # Errors
    /// The process can't be queried.
    pub async fn runs_at(&self, process: usize, query: &CallerQuery) -> Result<Vec<RunRecord>> {
        let control = self.targets[process].address("control")?;
        let records: Vec<RunRecord> = operator_view::get_json(control, "/runs").await?;
        let parameters = query.parameters();
        Ok(records
            .into_iter()
            .filter(|run| run.template == query.template && run.parameters == parameters)
            .collect())
    }

    /// Returns the runs of a query at all target processes.
    ///
    /// # Errors
    /// A process can't be queried.
    pub async fn runs(&self, query: &CallerQuery) -> Result<Vec<RunRecord>> {
        let mut runs = Vec::new();
        for process in 0..self.targets.len() {
            runs.extend(self.runs_at(process, query).await?);
        }
        Ok(runs)
    }

    /// Waits until a target process has recorded at least `count` runs of a query.
    ///
    /// # Errors
    /// The condition does not hold in time.
    pub async fn await_runs_at(
        &self,
        process: usize,
        query: &CallerQuery,
        count: usize,
    ) -> Result<()> {
        condition::until(&format!("{count} runs at process {process}"), async || {
            let runs = self.runs_at(process, query).await?;
            Ok((runs.len() >= count).then_some(()))
        })
        .await
    }

    /// Returns the targets for which a relay has a dispatcher, each with its number of attempts in
    /// flight.
    ///
    /// # Errors
    /// The relay can't be queried.
    pub async fn target_dispatchers(&self, relay: usize) -> Result<Vec<(String, u64)>> {
        let operator = self.relays[relay].address("operator")?;
        let dump: Value = operator_view::get_json(operator, "/debug/dump").await?;
        let dispatchers = dump["lanes"].as_object().into_iter().flatten();
        Ok(dispatchers
            .map(|(target, state)| (target.clone(), state["in_flight"].as_u64().unwrap_or(0)))
            .collect())
    }

    /// Waits until a relay has attempts in flight, and returns its number.
    ///
    /// # Errors
    /// The condition does not hold in time.
    pub async fn await_busy_relay(&self) -> Result<usize> {
        condition::until("a relay with attempts in flight", async || {
            for relay in 0..self.relays.len() {
                let dispatchers = self.target_dispatchers(relay).await?;
                if dispatchers.iter().any(|(_, in_flight)| *in_flight > 0) {
                    return Ok(Some(relay));
                }
            }
            Ok(None)
        })
        .await
    }

    /// Returns the rows that an answer over `shards` must contain.
    #[must_use]
    pub fn expected_rows(&self, query: &CallerQuery, shards: &[u32]) -> Value {
        query.expected_rows(&self.manifest, shards)
    }

    /// Returns the numbers of all shards.
    #[must_use]
    pub fn all_shards(&self) -> Vec<u32> {
        let shards = self.manifest.shards.iter();
        shards.map(|entry| entry.shard.0).collect()
    }

    fn node_settings(&self, name: &str) -> Result<Value> {
        let mut settings = json!({
            "node": name,
            "host": format!("host-of-{name}"),
            "domain": "domain-1",
            "peer_listen": "127.0.0.1:0",
            "operator_listen": "127.0.0.1:0",
            "platform": self.platform.address("address")?,
        });
        if self.is_group {
            let nodes = self.relays.iter().chain(&self.entries);
            let seeds: Result<Vec<SocketAddr>> = nodes.map(|node| node.address("gossip")).collect();
            settings["gossip_listen"] = json!("127.0.0.1:0");
            settings["seeds"] = json!(seeds?);
            settings["stop"] =
                json!({ "heard_within": STOP_PHASE_DURATION, "address_life": "0ms" });
        }
        Ok(settings)
    }

    fn start_node(&self, name: &str, settings: &Value, is_relay: bool) -> Result<ChildProcess> {
        let file = self.files.write_json(&format!("{name}.yaml"), settings)?;
        let binary = if is_relay {
            &self.binaries.relay
        } else {
            &self.binaries.entry
        };
        ChildProcess::start(name, binary, &["--settings".to_owned(), file])
    }
}

/// Starts the target processes of one index version.
pub(crate) fn start_targets(
    binaries: &TestBinaries,
    files: &ScratchDirectory,
    options: &ClusterOptions,
    layout: &ServiceLayout,
) -> Result<Vec<ChildProcess>> {
    let file = files.write_json(&format!("layout-{}.yaml", layout.version), &[layout])?;
    (0..options.target_processes())
        .map(|number| {
            let arguments = [
                "targets".to_owned(),
                "--layout".to_owned(),
                file.clone(),
                "--seed".to_owned(),
                number.to_string(),
            ];
            let name = format!("targets-{}-{number}", layout.version);
            ChildProcess::start(&name, &binaries.standin, &arguments)
        })
        .collect()
}

/// Builds the manifest in which each shard's replicas are at the processes of its placement,
/// numbered from the process `first`.
pub(crate) fn build_manifest(
    targets: &[ChildProcess],
    first: usize,
    options: &ClusterOptions,
    layout: &ServiceLayout,
    snapshot: SnapshotId,
) -> Result<SnapshotManifest> {
    let process_manifests: Vec<SnapshotManifest> = targets[first..]
        .iter()
        .map(|process| {
            let manifests = process.ready_message()["manifests"].clone();
            let mut manifests: Vec<SnapshotManifest> = serde_json::from_value(manifests)?;
            manifests
                .pop()
                .ok_or_eyre("a target process reported no manifest")
        })
        .collect::<Result<_>>()?;
    let entry = |(shard, processes): (u32, &Vec<usize>)| -> Result<ShardEntry> {
        let replicas = processes.iter().map(|process| {
            let replica = &process_manifests[*process].shards[shard as usize].replicas[0];
            Ok(ReplicaEntry {
                // All processes use the same target names; within the cluster they must be unique.
                target: layout.target_id(shard, u32::try_from(first + process)?)?,
                ..replica.clone()
            })
        });
        Ok(ShardEntry {
            shard: ShardId(shard),
            version: layout.version,
            first_key: layout.first_key(ShardId(shard)),
            replicas: replicas.collect::<Result<_>>()?,
        })
    };
    Ok(SnapshotManifest {
        service: layout.service.clone(),
        snapshot,
        shards: (0..)
            .zip(&options.placement)
            .map(entry)
            .collect::<Result<_>>()?,
    })
}
