//! Starts the parts of a front, and drains and reloads it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_node::node_group::{GroupOptions, NodeGroup};
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_peer::connection;
use alderhaven_peer::control_messages::ControlMessage;
use alderhaven_peer::peer_options::ConfigAccess;
use alderhaven_policy::drain::{DrainOptions, DrainState, StopReport};
use alderhaven_policy::membership::member_record::{CpuCapacity, MemberRole};
use alderhaven_store::object_store::ObjectStore;
use log::Level;
use tokio::time;

use crate::caller_server;
use crate::catalog::{Catalog, CatalogOptions};
use crate::catalog_state;
use crate::control_socket::ControlSocket;
use crate::crash_reporter::CrashReporter;
use crate::credit_group::CreditGroup;
use crate::credit_keeper::{CreditKeeper, CreditOptions};
use crate::credit_limits::CreditLimits;
use crate::front_context::FrontContext;
use crate::front_directory::{FrontDirectory, OwnFront};
use crate::front_event::FrontEvent;
use crate::front_intake::FrontIntake;
use crate::front_listeners::{FrontAddresses, FrontListeners};
use crate::front_metrics::FrontMetrics;
use crate::front_options::FrontOptions;
use crate::group_links::GroupLinks;
use crate::group_server;
use crate::lease_keeper::LeaseKeeper;
use crate::lease_links::LeaseLinks;
use crate::query_admission::QueryAdmission;
use crate::store_availability::StoreAvailability;
use crate::store_follower::StoreFollower;
use crate::wire_dialect::WireDialect;

/// The time for all nodes to learn that one is leaving: two urgent gossip rounds and the
/// publication of views.
const LEAVE_PROPAGATION_TIME: TimeSpan = TimeSpan::from_millis(400);

/// The part of the stop limit reserved for requests in flight; covers the timeouts of most routes.
const IN_FLIGHT_RESERVE: TimeSpan = TimeSpan::from_millis(1_500);

/// The last part of the stop limit, in which requests in flight get their final answers.
const FINAL_ANSWER_TIME: TimeSpan = TimeSpan::from_millis(150);

/// How often a starting node looks whether it has caught up with its peers.
const PEER_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(5);

/// The longest wait of a starting node's requests for what its peers have published; a peer answers
/// within one or two ticks of the exchange.
const MAX_CATCH_UP_TIME: std::time::Duration = std::time::Duration::from_millis(400);

/// The delay after a failed receive of a control message.
const CONTROL_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(5);

/// Some callers cache a directory answer for up to this multiple of its TTL.
const DIRECTORY_TTL_MULTIPLE: f64 = 3.0;

/// A running front; clones refer to the same one.
#[derive(Clone)]
pub struct FrontNode {
    context: FrontContext,
    group: NodeGroup,
    addresses: FrontAddresses,
}

impl FrontNode {
    /// Starts a front on the current Tokio runtime.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start<S: ObjectStore>(
        options: FrontOptions,
        dialect: Arc<dyn WireDialect>,
        store: Arc<S>,
    ) -> io::Result<Self> {
        let clock = ProcessClock::default();
        connection::set_frame_budget(options.resources.budget().frames);
        let (listeners, control) = FrontListeners::open(&options)?;
        let addresses = listeners.addresses()?;
        let catalog_options = CatalogOptions {
            node: options.node.clone(),
            domain: options.domain.clone(),
            capacity: options.group_capacity(),
            repeats: options.repeats,
            warmup: options.warmup,
            has_evacuations: options.has_evacuations,
            store_bounds: options.store_bounds,
        };
        let catalog = Arc::new(Catalog::new(Arc::clone(&dialect), catalog_options, clock));
        let group = start_group(&options, addresses, &catalog).await?;
        let metrics = FrontMetrics::default();
        let control = Arc::new(ControlSocket::new(control));
        let lease_links = LeaseLinks::builder()
            .own(options.group_front())
            .catalog(Arc::clone(&catalog))
            .group(group.clone())
            .socket(Arc::clone(&control))
            .metrics(metrics.clone())
            .clock(clock)
            .build();
        let lease = Arc::new(LeaseKeeper::new(options.lease, lease_links));
        tokio::spawn(Arc::clone(&lease).run(Arc::clone(&store)));
        let credit = CreditOptions::builder()
            .node(options.node.clone())
            .bound(options.quota)
            .socket(Arc::clone(&control))
            .group(CreditGroup::of_node(
                Arc::clone(&catalog),
                group.clone(),
                !options.seeds.is_empty(),
            ))
            .limits(CreditLimits::of_catalog(Arc::clone(&catalog)))
            .metrics(metrics.credit.clone())
            .build();
        let credit = Arc::new(CreditKeeper::new(credit));
        tokio::spawn(Arc::clone(&credit).run());
        tokio::spawn(serve_control(
            control,
            Arc::clone(&lease),
            Arc::clone(&credit),
        ));
        let context = FrontContext {
            catalog: Arc::clone(&catalog),
            crashes: CrashReporter::new(Arc::clone(&catalog), clock),
            dialect,
            lease,
            credit,
            links: GroupLinks::new(group.clone(), clock),
            metrics: metrics.clone(),
            intake: Arc::new(FrontIntake::new(options.resources.budget(), clock)),
            admission: Arc::new(QueryAdmission::new(clock)),
            timer_lag: Arc::default(),
            stop: StopHandle::default(),
            clock,
            options: options.requests,
        };
        let node = Self {
            context,
            group,
            addresses,
        };
        node.serve(listeners, &options);
        let availability = Arc::new(StoreAvailability::default());
        for kind in catalog_state::store_kinds(options.has_evacuations) {
            let (store, group) = (Arc::clone(&store), node.group.clone());
            let follower = StoreFollower::new(
                store,
                Arc::clone(&catalog),
                group,
                options.group_front(),
                *kind,
            );
            let follower = follower.with_bounds(options.store_bounds);
            let follower = follower.with_watchers(options.store_watchers);
            let follower = follower.with_metrics(metrics.clone());
            let follower = follower.with_group_start(options.start);
            let follower = follower.with_availability(Arc::clone(&availability));
            tokio::spawn(follower.run());
        }
        tokio::spawn(Arc::clone(&catalog).run_maintenance());
        tokio::spawn(node.context.crashes.clone().follow_learned_crashes());
        tokio::spawn(catch_up_with_peers(
            node.group.clone(),
            Arc::clone(&catalog),
            !options.seeds.is_empty(),
        ));
        tokio::spawn(track_live_nodes(node.group.clone(), catalog, metrics));
        node.spawn_drain(&options);
        FrontEvent::Started {
            node: options.node.to_string(),
        }
        .emit(Level::Info);
        Ok(node)
    }

    /// Starts the drain, if it isn't in progress already.
    ///
    /// Platforms may request a stop twice when maintenance operations overlap. The second one must
    /// not abort the requests that the drain lets finish.
    pub fn request_stop(&self) {
        let is_repeated = self.context.stop.state() != DrainState::Serving;
        FrontEvent::Stopping { is_repeated }.emit(Level::Info);
        self.context.stop.request_stop_once();
    }

    /// Applies the reloadable part of re-read settings, which is the budget for hedges and
    /// retries. Invalid settings are logged and change nothing.
    pub fn reload(&self, options: Result<FrontOptions, String>) {
        let error = match options {
            Ok(options) => {
                self.context.catalog.set_repeats(options.repeats);
                None
            }
            Err(error) => Some(error),
        };
        FrontEvent::Reloaded { error }.emit(Level::Info);
    }

    /// Waits until the drain is finished and the process may exit.
    pub async fn stopped(&self) -> StopReport {
        self.context.stop.stopped().await
    }

    /// Gets the bound addresses.
    #[must_use]
    pub const fn addresses(&self) -> FrontAddresses {
        self.addresses
    }

    /// Gets the number of group requests served for other fronts.
    #[must_use]
    pub fn served_group_requests(&self) -> u64 {
        self.context.metrics.served_group_requests.get()
    }

    /// Gets the number of live nodes, this one included.
    #[must_use]
    pub fn live_node_count(&self) -> usize {
        let members = self.group.members();
        let live = members.iter().filter(|member| member.state.takes_work());
        live.count()
    }

    /// Gets the number of requests that are suspected of crashing targets.
    #[must_use]
    pub fn crash_suspect_count(&self) -> usize {
        self.context.catalog.crashes().suspect_count()
    }

    /// Gets the bound gossip address, if this node gossips.
    #[must_use]
    pub fn gossip_address(&self) -> Option<SocketAddr> {
        self.group.gossip_address()
    }

    fn serve(&self, listeners: FrontListeners, options: &FrontOptions) {
        let own = options.caller_address.map(|_| OwnFront {
            address: self.addresses.callers,
            domain: options.domain.clone(),
            capacity: options.capacity,
        });
        let directory = FrontDirectory::new(
            Arc::clone(&self.context.catalog),
            Arc::clone(&self.context.lease),
            self.group.clone(),
            self.context.stop.clone(),
            own,
            options.directory_ttl,
            options.choice.clone(),
        );
        let context = || self.context.clone();
        if let Some(listener) = listeners.callers {
            tokio::spawn(caller_server::serve_callers(listener, context()));
        }
        tokio::spawn(group_server::serve(listeners.groups, context()));
        if let Some(listener) = listeners.metrics {
            tokio::spawn(caller_server::serve_metrics(listener, context()));
        }
        let intake = &self.context.intake;
        let directories = [
            (listeners.directory, &intake.directory),
            (listeners.ready, &intake.ready),
        ];
        for (listener, limit) in directories {
            if let Some(listener) = listener {
                let (limit, directory) = (Arc::clone(limit), directory.clone());
                let serving = caller_server::serve_directory(listener, limit, context(), directory);
                tokio::spawn(serving);
            }
        }
    }

    fn spawn_drain(&self, options: &FrontOptions) {
        let drain = drain_options(options);
        let stop = self.context.stop.clone();
        let in_flight = self.context.stop.clone();
        let group = self.group.clone();
        tokio::spawn(stop.drive(drain, group, move || in_flight.in_flight()));
    }
}

/// Gets the phases of the drain. The time for cached directory answers to expire is cut so that
/// the reserve for requests in flight remains. Without it the process would exit while requests
/// run, and their callers would see connections close without an answer.
#[must_use]
pub fn drain_options(options: &FrontOptions) -> DrainOptions {
    let reserved = IN_FLIGHT_RESERVE + LEAVE_PROPAGATION_TIME;
    let max_lifetime = options.stop_limit.saturating_sub(reserved);
    DrainOptions {
        leave_propagation_time: LEAVE_PROPAGATION_TIME,
        directory_lifetime: options
            .directory_ttl
            .mul_f64(DIRECTORY_TTL_MULTIPLE)
            .min(max_lifetime),
        limit: options.stop_limit,
        final_answer_time: FINAL_ANSWER_TIME,
    }
}

async fn start_group(
    options: &FrontOptions,
    addresses: FrontAddresses,
    catalog: &Arc<Catalog>,
) -> io::Result<NodeGroup> {
    let group = GroupOptions::builder()
        .node(options.node.clone())
        .role(MemberRole::Entry)
        .host(options.host.clone())
        .domain(options.domain.clone())
        .gossip_listen(options.gossip_address)
        .seeds(options.seeds.clone())
        .peer_address(addresses.groups)
        .maybe_caller_address(options.caller_address.map(|_| addresses.callers))
        .capacity(options.group_capacity())
        // Nothing queries a front for the configuration versions of other nodes.
        .is_reporting(false)
        .build();
    let (stamps, objects) = (Arc::clone(catalog), Arc::clone(catalog));
    let (accept, listed) = (Arc::clone(catalog), Arc::clone(catalog));
    let access = ConfigAccess::builder()
        .stamps(move || stamps.stamps())
        .look_up(move |key| objects.object(key))
        .accept(move |received| accept.accept_from_peer(received))
        .is_fully_listed(move || listed.is_fully_listed())
        .changes(catalog.subscribe())
        .build();
    NodeGroup::start_with(group, access).await
}

/// Lets requests wait at the start until this node knows what its peers have published: the store does
/// not hold the crash strikes of requests. Nodes whose peers are not there wait for a moment only.
async fn catch_up_with_peers(group: NodeGroup, catalog: Arc<Catalog>, has_seeds: bool) {
    let wait = async {
        while !group.has_compared() {
            time::sleep(PEER_POLL_INTERVAL).await;
        }
    };
    if has_seeds {
        // Without peers there is nothing to catch up with.
        let _is_over = time::timeout(MAX_CATCH_UP_TIME, wait).await.is_err();
    }
    catalog.mark_caught_up();
}

/// Passes the live nodes to the catalog and the metrics whenever they change.
async fn track_live_nodes(group: NodeGroup, catalog: Arc<Catalog>, metrics: FrontMetrics) {
    let mut changed = group.subscribe();
    let mut before = 0;
    loop {
        let members = group.members();
        let live = members.iter().filter(|member| member.state.takes_work());
        let nodes: Vec<(NodeId, CpuCapacity)> = live
            .map(|member| (member.record.node.clone(), member.record.capacity))
            .collect();
        let live = nodes.len();
        catalog.set_live_nodes(&nodes);
        if live != before {
            FrontEvent::NodesChanged {
                nodes: live,
                before,
            }
            .emit(Level::Info);
            before = live;
        }
        metrics.nodes.set(i64::try_from(live).unwrap_or(i64::MAX));
        let routing = catalog.view().routing.clone();
        let version = routing.map_or(0, |routing| routing.version);
        metrics
            .config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Passes control messages of other fronts on for as long as the process runs.
async fn serve_control(
    control: Arc<ControlSocket>,
    lease: Arc<LeaseKeeper>,
    credit: Arc<CreditKeeper>,
) {
    loop {
        match control.receive().await {
            Ok((ControlMessage::LeaseQuery(query), sender)) => lease.handle_query(query, sender),
            Ok((ControlMessage::LeaseReply(reply), sender)) => lease.handle_reply(reply, sender),
            Ok((ControlMessage::CreditQuery(query), sender)) => {
                credit.handle_query(&query, sender);
            }
            Ok((ControlMessage::CreditReply(reply), sender)) => {
                credit.handle_reply(&reply, sender);
            }
            // A receive fails with the error of an earlier send, such as an unreachable receiver.
            Err(_) => time::sleep(CONTROL_RETRY_DELAY).await,
        }
    }
}
