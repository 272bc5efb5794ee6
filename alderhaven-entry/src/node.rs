//! Starts and connects the parts of an entry, and serves its state to operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_intake::socket_options;
use alderhaven_node::node_group::{GroupOptions, NodeGroup};
use alderhaven_node::process_main::ProcessNode;
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_peer::strike_tracker::StrikeTracker;
use alderhaven_policy::drain::StopReport;
use alderhaven_policy::membership::member_record::MemberRole;
use alderhaven_store::config_handle::ConfigHandle;
use alderhaven_store::http_client::ClientOptions;
use alderhaven_store::http_hosts::HttpHosts;
use alderhaven_store::http_store::{HttpStore, HttpStoreOptions};
use alderhaven_store::operator_server;
use alderhaven_store::operator_server::OperatorSource;
use alderhaven_store::target_watch::TargetWatch;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use crate::admission_controller::AdmissionController;
use crate::applied_config::{AppliedConfig, ConfigApplier};
use crate::caller_intake::CallerIntake;
use crate::caller_server;
use crate::caller_server::CallerService;
use crate::claim_ledger::ClaimLedger;
use crate::claim_peers;
use crate::claim_peers::ClaimPeers;
use crate::claimed_runner::ClaimedRunner;
use crate::entry_directory::EntryDirectory;
use crate::group_follower;
use crate::group_follower::GroupFollower;
use crate::held_answers::HeldAnswers;
use crate::metrics::EntryMetrics;
use crate::query_runner::{QueryRunner, RunnerParts};
use crate::relay_link::LinkParts;
use crate::relay_routes::RelayRoutes;
use crate::replica_selector::ReplicaSelector;
use crate::settings::EntrySettings;
use crate::template_runs::TemplateRuns;

/// Time limit for writing the last answers after the graceful shutdown.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// The accept backlog of callers. Connections in it hold received bytes in the kernel.
const CALLER_BACKLOG: u32 = 256;

/// A running entry. Dropping it aborts its tasks.
#[derive(Debug)]
pub struct EntryNode {
    settings: EntrySettings,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    state: Arc<EntryState>,
    connections: TaskTracker,
    _tasks: [AbortOnDropHandle<()>; 9],
}

/// State shared by the parts of an entry, and shown to operators.
#[derive(Debug)]
pub struct EntryState {
    /// Id of this entry.
    pub node: NodeId,
    /// The newest configuration from the store.
    pub config: ConfigHandle,
    /// The configuration on which queries are planned.
    pub applied: AppliedConfig,
    /// What is held of callers' requests and answers, and their connections.
    pub intake: Arc<CallerIntake>,
    /// Admits or refuses queries.
    pub admission: Arc<AdmissionController>,
    /// Connections to relays, and the relays of each target.
    pub routes: Arc<RelayRoutes>,
    /// Targets that receive no new attempts because they are draining or leaving.
    pub watch: TargetWatch,
    /// Crashes attributed to requests, and the requests in quarantine.
    pub strikes: Arc<StrikeTracker>,
    /// Runs non-idempotent requests, each at most once.
    pub claimed_runner: Arc<ClaimedRunner<HttpStore>>,
    /// Counters and histograms of this entry.
    pub metrics: Arc<EntryMetrics>,
    /// The group of entries and relays.
    pub group: NodeGroup,
    /// Phase of the entry's shutdown, and the requests in flight.
    pub stop: StopHandle,
}

impl EntryNode {
    /// Starts an entry on the current runtime. The caller keeps `config` up to date.
    ///
    /// # Errors
    /// An I/O error if an address can't be bound.
    pub async fn start(settings: EntrySettings, config: ConfigHandle) -> io::Result<Self> {
        let (callers, operators, peers) = open_listeners(&settings)?;
        let caller_address = callers.local_addr()?;
        let operator_address = operators.local_addr()?;
        let peer_address = peers.local_addr()?;
        let metrics = Arc::new(EntryMetrics::default());
        let watch = TargetWatch::default();
        let clock = ProcessClock::default();
        let strikes = Arc::new(strike_tracker(&settings, clock));
        let routes = Arc::new(relay_routes(&settings, &strikes, &metrics));
        let admission = Arc::new(admission_controller(&settings, clock));
        let selector = Arc::new(replica_selector(&settings, clock));
        let applied = AppliedConfig::default();
        let config_applier = ConfigApplier {
            config: config.clone(),
            admission: Arc::clone(&admission),
            routes: Arc::clone(&routes),
            selector: Arc::clone(&selector),
            applied: applied.clone(),
        };
        let parts = RunnerParts {
            routes: Arc::clone(&routes),
            selector,
            watch: watch.clone(),
            strikes: Arc::clone(&strikes),
            config: applied.clone(),
            metrics: Arc::clone(&metrics),
        };
        let runner = Arc::new(QueryRunner::new(rand::random(), parts));
        let claims = Arc::new(claimed_runner(
            &settings,
            peer_address,
            &admission,
            &runner,
            &config,
        ));
        let options = group_options(&settings, peer_address, caller_address);
        let group = NodeGroup::start(options, &config).await?;
        let follower = group_follower(&settings, &group, &routes, &admission);
        follower.apply();
        let stop = StopHandle::default();
        let connections = TaskTracker::new();
        let intake = Arc::new(CallerIntake::new(&settings.limits, clock));
        let state = Arc::new(EntryState {
            intake: Arc::clone(&intake),
            node: settings.node.clone(),
            config: config.clone(),
            applied: applied.clone(),
            routes,
            admission: Arc::clone(&admission),
            watch: watch.clone(),
            strikes,
            claimed_runner: Arc::clone(&claims),
            metrics: Arc::clone(&metrics),
            group: group.clone(),
            stop: stop.clone(),
        });
        let service = CallerService {
            intake,
            limits: settings.limits.clone(),
            admission: Arc::clone(&admission),
            runner,
            claimed_runner: claims,
            config,
            applied,
            metrics,
            group: group.clone(),
            stop: stop.clone(),
            runs: TemplateRuns::new(clock),
            clock,
            connections: connections.clone(),
            directory: directory(&settings, caller_address),
        };
        let hosts = HttpHosts::new(settings.platform, ClientOptions::default());
        let requests = stop.clone();
        let tasks = [
            tokio::spawn(follower.follow()),
            tokio::spawn(stop.drive(settings.stop.clone(), group, move || requests.in_flight())),
            tokio::spawn(watch.follow(Arc::new(hosts), state.config.clone())),
            tokio::spawn(Arc::clone(state.claimed_runner.ledger()).run_forever()),
            tokio::spawn(claim_peers::serve(
                peers,
                Arc::clone(state.claimed_runner.held()),
                clock,
            )),
            tokio::spawn(Arc::clone(&admission).expire_queries_forever()),
            tokio::spawn(config_applier.follow()),
            tokio::spawn(caller_server::serve(callers, Arc::new(service))),
            tokio::spawn(operator_server::serve(operators, Arc::clone(&state))),
        ];
        Ok(Self {
            settings,
            caller_address,
            operator_address,
            state,
            connections,
            _tasks: tasks.map(AbortOnDropHandle::new),
        })
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the bound address for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the bound gossip address, or `None` if the entry has no group.
    #[must_use]
    pub fn gossip_address(&self) -> Option<SocketAddr> {
        self.state.group.gossip_address()
    }

    /// Requests a graceful shutdown. After a second call the entry gives its final answers and ends.
    pub fn request_stop(&self) {
        self.state.stop.request_stop();
    }

    /// Waits for the end of the shutdown. The report contains the number of aborted requests.
    pub async fn stopped(&self) -> StopReport {
        let report = self.state.stop.stopped().await;
        self.connections.close();
        // A caller that doesn't read its answer delays the exit by no more than this.
        let _written = time::timeout(LAST_WRITE_TIMEOUT, self.connections.wait()).await;
        report
    }

    /// Returns the settings that the entry was started with.
    #[must_use]
    pub const fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// State shared by the parts of the entry.
    #[must_use]
    pub const fn state(&self) -> &Arc<EntryState> {
        &self.state
    }
}

fn strike_tracker(settings: &EntrySettings, clock: ProcessClock) -> StrikeTracker {
    StrikeTracker::new(settings.policy, settings.quarantine.clone(), clock)
}

fn relay_routes(
    settings: &EntrySettings,
    strikes: &Arc<StrikeTracker>,
    metrics: &EntryMetrics,
) -> RelayRoutes {
    RelayRoutes::new(LinkParts {
        options: settings.link_options(),
        strikes: Arc::clone(strikes),
        silent_links: metrics.silent_links.clone(),
    })
}

impl ProcessNode for EntryNode {
    type Settings = EntrySettings;

    async fn start(settings: EntrySettings, config: ConfigHandle) -> io::Result<Self> {
        Self::start(settings, config).await
    }

    fn ready_line(&self) -> Value {
        json!({
            "ready": true,
            "node": self.state.node,
            "listen": self.caller_address,
            "operator": self.operator_address,
            "gossip": self.gossip_address(),
        })
    }

    fn request_stop(&self) {
        Self::request_stop(self);
    }

    async fn stopped(&self) -> StopReport {
        Self::stopped(self).await
    }
}

impl OperatorSource for EntryState {
    fn metrics(&self) -> String {
        self.intake.export(&self.metrics.intake);
        self.metrics.encode()
    }

    fn dump(&self) -> Value {
        let links: Vec<Value> = self
            .routes
            .links()
            .iter()
            .map(|link| {
                json!({
                    "relay": link.address(),
                    "usable": link.is_usable(),
                    "awaited": link.pending_count(),
                })
            })
            .collect();
        let loads = self.admission.loads(&self.config.view());
        json!({ "status": self.status(), "services": loads,
            "leaving_targets": *self.watch.leaving_names(), "relays": links,
            "quarantine": self.strikes.entries(),
            "claims": self.claimed_runner.dump(), "members": &*self.group.members(),
            "group": self.group.snapshot() })
    }

    fn status(&self) -> Value {
        json!({
            "node": self.node,
            "role": "entry",
            "state": self.stop.state(),
            "in_flight": self.stop.in_flight(),
            "config": self.applied.status(&self.config),
        })
    }

    fn drain(&self) {
        self.stop.request_stop_once();
    }
}

/// Creates the runner of non-idempotent requests. The task of its ledger is spawned separately.
fn claimed_runner(
    settings: &EntrySettings,
    address: SocketAddr,
    admission: &Arc<AdmissionController>,
    runner: &Arc<QueryRunner>,
    config: &ConfigHandle,
) -> ClaimedRunner<HttpStore> {
    let metrics = runner.metrics.claims.clone();
    let store = HttpStore::new(settings.platform, HttpStoreOptions::default());
    let ledger = ClaimLedger::new(
        Arc::new(store),
        settings.node.clone(),
        address,
        settings.claims,
        admission.clock(),
        metrics.clone(),
    );
    let held = HeldAnswers::new(
        settings.claims.held_bytes,
        settings.claims.held_time,
        metrics.clone(),
    );
    ClaimedRunner::builder()
        .node(settings.node.clone())
        .ledger(Arc::new(ledger))
        .held(Arc::new(held))
        .peers(ClaimPeers::new(address))
        .admission(Arc::clone(admission))
        .runner(Arc::clone(runner))
        .config(config.clone())
        .clock(admission.clock())
        .metrics(metrics)
        .build()
}

fn group_follower(
    settings: &EntrySettings,
    group: &NodeGroup,
    routes: &Arc<RelayRoutes>,
    admission: &Arc<AdmissionController>,
) -> GroupFollower {
    GroupFollower {
        group: group.clone(),
        routes: Arc::clone(routes),
        admission: Arc::clone(admission),
        configured_relays: group_follower::configured_relays(&settings.relays, &settings.domain),
    }
}

fn admission_controller(settings: &EntrySettings, clock: ProcessClock) -> AdmissionController {
    AdmissionController::new(settings.policy, settings.admission.clone(), clock)
}

fn replica_selector(settings: &EntrySettings, clock: ProcessClock) -> ReplicaSelector {
    ReplicaSelector::new(
        settings.policy,
        settings.choices.clone(),
        settings.domain.clone(),
        clock,
    )
}

/// Opens the listeners of callers, operators and peers.
fn open_listeners(settings: &EntrySettings) -> io::Result<(TcpListener, TcpListener, TcpListener)> {
    Ok((
        socket_options::listen_with_backlog(settings.listen, CALLER_BACKLOG)?,
        socket_options::listen_for_callers(settings.operator_listen)?,
        socket_options::listen_for_peers(settings.peer_listen)?,
    ))
}

fn directory(settings: &EntrySettings, address: SocketAddr) -> EntryDirectory {
    EntryDirectory {
        options: settings.answers.clone(),
        domain: settings.domain.clone(),
        address,
    }
}

fn group_options(
    settings: &EntrySettings,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
) -> GroupOptions {
    GroupOptions::builder()
        .node(settings.node.clone())
        .role(MemberRole::Entry)
        .host(settings.host.clone())
        .domain(settings.domain.clone())
        .maybe_gossip_listen(settings.gossip_listen)
        .seeds(settings.seeds.clone())
        .peer_address(peer_address)
        .caller_address(caller_address)
        .build()
}
