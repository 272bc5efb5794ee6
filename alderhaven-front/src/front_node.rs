//! A front as a process: its parts, their start and the planned stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::NodeId;
use alderhaven_core::process_clock::ProcessClock;
use alderhaven_core::time::TimeSpan;
use alderhaven_node::node_group::{GroupOptions, NodeGroup};
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_peer::peer_options::ConfigAccess;
use alderhaven_policy::drain::{DrainOptions, DrainState, StopReport};
use alderhaven_policy::membership::member_record::{CpuCapacity, MemberRole};
use alderhaven_store::object_store::ObjectStore;
use log::Level;

use crate::caller_server;
use crate::catalog::{Catalog, CatalogOptions};
use crate::catalog_state;
use crate::front_context::FrontContext;
use crate::front_directory::{FrontDirectory, OwnFront};
use crate::front_event::FrontEvent;
use crate::front_listeners::{FrontAddresses, FrontListeners};
use crate::front_metrics::FrontMetrics;
use crate::front_options::FrontOptions;
use crate::group_links::GroupLinks;
use crate::group_server;
use crate::query_admission::QueryAdmission;
use crate::store_availability::StoreAvailability;
use crate::store_follower::StoreFollower;
use crate::wire_dialect::WireDialect;

/// The time until all nodes have heard that one leaves: two rounds of urgent gossip, and the tenth
/// of a second in which views are published.
const LEAVE_PROPAGATION_TIME: TimeSpan = TimeSpan::from_millis(400);

/// The part of a planned stop that is kept for requests in flight: that of most routes' timeouts.
const IN_FLIGHT_RESERVE: TimeSpan = TimeSpan::from_millis(1_500);

/// How many times the life of a directory's answer some callers keep it.
const DIRECTORY_TTL_MULTIPLE: f64 = 3.0;

/// A `FrontNode` is a running front.
#[derive(Clone)]
pub struct FrontNode {
    context: FrontContext,
    group: NodeGroup,
    addresses: FrontAddresses,
}

impl FrontNode {
    /// Starts a front on the current runtime.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start<S: ObjectStore>(
        options: FrontOptions,
        dialect: Arc<dyn WireDialect>,
        store: Arc<S>,
    ) -> io::Result<Self> {
        let clock = ProcessClock::default();
        let listeners = FrontListeners::open(&options)?;
        let addresses = listeners.addresses()?;
        let catalog_options = CatalogOptions {
            node: options.node.clone(),
            domain: options.domain.clone(),
            capacity: options.capacity,
            repeats: options.repeats,
            warmup: options.warmup,
            has_evacuations: options.has_evacuations,
        };
        let catalog = Arc::new(Catalog::new(Arc::clone(&dialect), catalog_options, clock));
        let group = start_group(&options, addresses, &catalog).await?;
        let metrics = FrontMetrics::default();
        let context = FrontContext {
            catalog: Arc::clone(&catalog),
            dialect,
            links: GroupLinks::new(group.clone(), clock),
            metrics: metrics.clone(),
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
                options.node.clone(),
                *kind,
            );
            let follower = follower.with_metrics(metrics.clone());
            let follower = follower.with_group_start(options.start);
            let follower = follower.with_availability(Arc::clone(&availability));
            tokio::spawn(follower.run());
        }
        tokio::spawn(Arc::clone(&catalog).run_maintenance());
        tokio::spawn(track_live_nodes(node.group.clone(), catalog, metrics));
        node.spawn_drain(&options);
        FrontEvent::Started {
            node: options.node.to_string(),
        }
        .emit(Level::Info);
        Ok(node)
    }

    /// Asks for the planned stop; asked again it goes on as it is.
    ///
    /// Rounds of planned work overlap, so that a platform may ask twice. A second word that ended the
    /// process would cut the requests that the first one lets finish.
    pub fn request_stop(&self) {
        let is_repeated = self.context.stop.state() != DrainState::Serving;
        FrontEvent::Stopping { is_repeated }.emit(Level::Info);
        self.context.stop.request_stop_once();
    }

    /// Takes over settings that were read again. What is bound to an address or told to peers stays as
    /// it was started; what can't be read changes nothing.
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

    /// Waits until the process may end.
    pub async fn stopped(&self) -> StopReport {
        self.context.stop.stopped().await
    }

    /// Gets where the front is reached.
    #[must_use]
    pub const fn addresses(&self) -> FrontAddresses {
        self.addresses
    }

    /// Gets how many asks of other fronts were carried out.
    #[must_use]
    pub fn served_group_requests(&self) -> u64 {
        self.context.metrics.served_group_requests.get()
    }

    /// Gets the number of nodes that are alive, this one included.
    #[must_use]
    pub fn live_node_count(&self) -> usize {
        let members = self.group.members();
        let live = members.iter().filter(|member| member.state.takes_work());
        live.count()
    }

    /// Gets the number of requests that were part of crashes of targets.
    #[must_use]
    pub fn crash_suspect_count(&self) -> usize {
        self.context.catalog.crashes().len()
    }

    /// Gets where the front gossips.
    #[must_use]
    pub fn gossip_address(&self) -> Option<SocketAddr> {
        self.group.gossip_address()
    }

    fn serve(&self, listeners: FrontListeners, options: &FrontOptions) {
        let own = OwnFront {
            address: self.addresses.callers,
            domain: options.domain.clone(),
            capacity: options.capacity,
        };
        let directory = FrontDirectory::new(
            Arc::clone(&self.context.catalog),
            self.group.clone(),
            self.context.stop.clone(),
            own,
            options.directory_ttl,
            options.choice.clone(),
        );
        let context = || self.context.clone();
        tokio::spawn(caller_server::serve_callers(listeners.callers, context()));
        tokio::spawn(group_server::serve(listeners.groups, context()));
        if let Some(listener) = listeners.metrics {
            tokio::spawn(caller_server::serve_metrics(listener, context()));
        }
        for listener in [listeners.directory, listeners.ready] {
            let serving = caller_server::serve_directory(listener, context(), directory.clone());
            tokio::spawn(serving);
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

/// Gets the spans of a planned stop. What is left of the limit after the callers' lists have lapsed is
/// for the requests that were taken: without it the process ends in the midst of them, and their
/// callers find their connections closed without an answer.
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
        .caller_address(addresses.callers)
        .capacity(options.capacity)
        // Nobody asks a front for the others' configurations.
        .is_reporting(false)
        .build();
    let (stamps, objects) = (Arc::clone(catalog), Arc::clone(catalog));
    let (accept, listed) = (Arc::clone(catalog), Arc::clone(catalog));
    let access = ConfigAccess::builder()
        .stamps(move || stamps.stamps())
        .look_up(move |key| objects.object(key))
        .accept(move |news| accept.accept(news))
        .is_listed(move || listed.is_fully_listed())
        .changed(catalog.changed())
        .build();
    NodeGroup::start_with(group, access).await
}

/// Keeps the catalog's number of nodes up to date.
async fn track_live_nodes(group: NodeGroup, catalog: Arc<Catalog>, metrics: FrontMetrics) {
    let mut changed = group.changed();
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
