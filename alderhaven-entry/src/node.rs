//! The entry as a whole: what it starts and what it answers operators.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_peer::strike_board::StrikeBoard;
use alderhaven_platform::config_handle::ConfigHandle;
use alderhaven_platform::http_client::ClientOptions;
use alderhaven_platform::http_hosts::HttpHosts;
use alderhaven_platform::http_store::{HttpStore, HttpStoreOptions};
use alderhaven_platform::operator_server;
use alderhaven_platform::operator_server::OperatorSource;
use alderhaven_platform::target_watch::TargetWatch;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio_util::task::AbortOnDropHandle;

use crate::admission_desk::AdmissionDesk;
use crate::caller_server;
use crate::caller_server::CallerService;
use crate::claim_ledger::ClaimLedger;
use crate::claim_peers;
use crate::claim_peers::ClaimPeers;
use crate::claimed_runner::ClaimedRunner;
use crate::held_answers::HeldAnswers;
use crate::metrics::EntryMetrics;
use crate::query_runner::{QueryRunner, RunnerParts};
use crate::relay_link::LinkParts;
use crate::relay_routes::RelayRoutes;
use crate::replica_board::ReplicaBoard;
use crate::settings::EntrySettings;

/// An `EntryNode` is a running entry; dropping it ends its tasks.
#[derive(Debug)]
pub struct EntryNode {
    settings: EntrySettings,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    state: Arc<EntryState>,
    _tasks: [AbortOnDropHandle<()>; 7],
}

/// An `EntryState` is what the parts of an entry share, as operators see it.
#[derive(Debug)]
pub struct EntryState {
    /// The entry's own id.
    pub node: NodeId,
    /// The configuration in force.
    pub config: ConfigHandle,
    /// What admits queries.
    pub desk: Arc<AdmissionDesk>,
    /// The routes through relays.
    pub routes: Arc<RelayRoutes>,
    /// The targets that get no new work.
    pub watch: TargetWatch,
    /// What is known of requests that crash targets.
    pub strikes: Arc<StrikeBoard>,
    /// What runs the non-idempotent requests.
    pub claims: Arc<ClaimedRunner<HttpStore>>,
    /// What is counted.
    pub metrics: Arc<EntryMetrics>,
}

impl EntryNode {
    /// Starts an entry on the current runtime; `config` is kept up to date by the caller.
    ///
    /// # Errors
    /// An error of the operating system where an address can't be bound.
    pub async fn start(settings: EntrySettings, config: ConfigHandle) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let caller_address = listener.local_addr()?;
        let operator_listener = TcpListener::bind(settings.operator_listen).await?;
        let operator_address = operator_listener.local_addr()?;
        let peer_listener = TcpListener::bind(settings.peer_listen).await?;
        let peer_address = peer_listener.local_addr()?;
        let metrics = Arc::new(EntryMetrics::default());
        let watch = TargetWatch::default();
        let clock = ProcessClock::default();
        let strikes = Arc::new(StrikeBoard::new(
            settings.policy,
            settings.quarantine.clone(),
            clock,
        ));
        let routes = Arc::new(RelayRoutes::new(LinkParts {
            options: settings.link_options(),
            strikes: Arc::clone(&strikes),
            silent_links: metrics.silent_links.clone(),
        }));
        routes.set_relays(&settings.relays);
        let desk = Arc::new(AdmissionDesk::new(
            settings.policy,
            settings.admission.clone(),
            clock,
        ));
        // Each host runs one entry and one relay, so the relays' number is the entries' number.
        desk.set_entries(u32::try_from(settings.relays.len()).unwrap_or(u32::MAX));
        let board = Arc::new(ReplicaBoard::new(
            settings.policy,
            settings.choices.clone(),
            settings.domain.clone(),
            clock,
        ));
        let runner = Arc::new(QueryRunner::new(
            rand::random(),
            RunnerParts {
                routes: Arc::clone(&routes),
                board: Arc::clone(&board),
                watch: watch.clone(),
                strikes: Arc::clone(&strikes),
                config: config.clone(),
                metrics: Arc::clone(&metrics),
            },
        ));
        let claims = Arc::new(claimed_runner(
            &settings,
            peer_address,
            &desk,
            &runner,
            &config,
        ));
        let state = Arc::new(EntryState {
            node: settings.node.clone(),
            config: config.clone(),
            routes,
            desk: Arc::clone(&desk),
            watch: watch.clone(),
            strikes,
            claims: Arc::clone(&claims),
            metrics: Arc::clone(&metrics),
        });
        let service = CallerService {
            limits: settings.limits.clone(),
            desk: Arc::clone(&desk),
            runner,
            claims,
            config,
            metrics,
        };
        let hosts = HttpHosts::new(settings.platform, ClientOptions::default());
        let tasks = [
            tokio::spawn(watch.follow(Arc::new(hosts), state.config.clone())),
            tokio::spawn(Arc::clone(state.claims.ledger()).run_forever()),
            tokio::spawn(claim_peers::serve(
                peer_listener,
                Arc::clone(state.claims.held()),
                clock,
            )),
            tokio::spawn(Arc::clone(&desk).give_up_forever()),
            tokio::spawn(apply_configuration(desk, board, state.config.clone())),
            tokio::spawn(caller_server::serve(listener, Arc::new(service))),
            tokio::spawn(operator_server::serve(
                operator_listener,
                Arc::clone(&state),
            )),
        ];
        Ok(Self {
            settings,
            caller_address,
            operator_address,
            state,
            _tasks: tasks.map(AbortOnDropHandle::new),
        })
    }

    /// Gets the address for callers.
    #[must_use]
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Gets the address for operators.
    #[must_use]
    pub const fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Gets the settings in force.
    #[must_use]
    pub const fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Gets what the parts of the entry share.
    #[must_use]
    pub const fn state(&self) -> &Arc<EntryState> {
        &self.state
    }
}

impl OperatorSource for EntryState {
    fn metrics(&self) -> String {
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
                    "awaited": link.awaited_count(),
                })
            })
            .collect();
        let loads = self.desk.loads(&self.config.view());
        json!({ "status": self.status(), "services": loads,
            "leaving_targets": *self.watch.names(), "relays": links,
            "quarantine": self.strikes.entries(),
            "claims": self.claims.dump() })
    }

    fn status(&self) -> Value {
        json!({
            "node": self.node,
            "role": "entry",
            "config": self.config.status(),
        })
    }

    fn drain(&self) {}
}

/// Makes what runs the non-idempotent requests; the ledger's calls are not begun yet.
fn claimed_runner(
    settings: &EntrySettings,
    address: SocketAddr,
    desk: &Arc<AdmissionDesk>,
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
        desk.clock(),
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
        .desk(Arc::clone(desk))
        .runner(Arc::clone(runner))
        .config(config.clone())
        .clock(desk.clock())
        .metrics(metrics)
        .build()
}

/// Takes over each change of the configuration until the process ends.
async fn apply_configuration(
    desk: Arc<AdmissionDesk>,
    board: Arc<ReplicaBoard>,
    config: ConfigHandle,
) {
    let mut changed = config.changed();
    loop {
        let view = config.view();
        desk.apply(&view);
        board.apply(&view);
        if changed.changed().await.is_err() {
            return;
        }
    }
}
