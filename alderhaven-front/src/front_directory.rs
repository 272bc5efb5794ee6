//! Selects the fronts that the directory returns to callers.

use std::net::SocketAddr;
use std::sync::Arc;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_node::stop_handle::StopHandle;
use alderhaven_policy::config_lease::LeaseStatus;
use alderhaven_policy::drain::DrainState;
use alderhaven_policy::front_choice::{self, FrontCandidate, FrontChoiceOptions};
use alderhaven_policy::membership::digest_progress::DigestProgress;
use alderhaven_policy::membership::member_record::{CpuCapacity, MemberState};
use rand::RngExt;
use smallvec::SmallVec;

use crate::catalog::Catalog;
use crate::lease_keeper::LeaseKeeper;
use crate::wire_dialect::DirectoryQuery;

/// Answers directory queries from the live members of the group.
#[derive(Clone, Debug)]
pub struct FrontDirectory {
    catalog: Arc<Catalog>,
    lease: Arc<LeaseKeeper>,
    group: NodeGroup,
    stop: StopHandle,
    /// This process, unless it serves no callers.
    own: Option<OwnFront>,
    options: FrontChoiceOptions,
    ttl: TimeSpan,
}

/// This process as a candidate of its own directory.
#[derive(Clone, Debug)]
pub struct OwnFront {
    /// The address at which callers connect.
    pub address: SocketAddr,
    /// The failure domain of this process.
    pub domain: FailureDomain,
    /// The processor time of this process.
    pub capacity: CpuCapacity,
}

impl FrontDirectory {
    /// Creates a directory whose answers callers may cache for `ttl`.
    #[must_use]
    pub const fn new(
        catalog: Arc<Catalog>,
        lease: Arc<LeaseKeeper>,
        group: NodeGroup,
        stop: StopHandle,
        own: Option<OwnFront>,
        ttl: TimeSpan,
        options: FrontChoiceOptions,
    ) -> Self {
        Self {
            catalog,
            lease,
            group,
            stop,
            own,
            options,
            ttl,
        }
    }

    /// Gets how long callers may cache an answer.
    #[must_use]
    pub const fn ttl(&self) -> TimeSpan {
        self.ttl
    }

    /// Returns true if this process accepts requests, knows configuration and targets, and may serve
    /// some of the routes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stop.state() == DrainState::Serving
            && self.catalog.can_serve_requests()
            && self.may_serve_routes()
    }

    /// Returns false if the front refuses all requests because its lease has ended.
    fn may_serve_routes(&self) -> bool {
        self.lease.status() != LeaseStatus::Ended || self.catalog.has_open_route()
    }

    /// Chooses the fronts for a caller; suspected members are used only if no live one qualifies.
    /// A front that refuses all requests names nobody: it reaches no front that could serve them.
    #[must_use]
    pub fn choose_fronts(&self, query: &DirectoryQuery) -> SmallVec<[SocketAddr; 8]> {
        if !self.may_serve_routes() {
            return SmallVec::new();
        }
        let rotation = rand::rng().random_range(0..usize::from(u16::MAX));
        let candidates = self.candidates(MemberState::Alive);
        let domain = query.domain.as_ref();
        let chosen = front_choice::choose_fronts(&candidates, domain, &self.options, rotation);
        if !chosen.is_empty() {
            return chosen;
        }
        let candidates = self.candidates(MemberState::Suspect);
        front_choice::choose_fronts(&candidates, domain, &self.options, rotation)
    }

    fn candidates(&self, state: MemberState) -> Vec<FrontCandidate> {
        let view = self.catalog.view();
        let now = self.group.now();
        let own = self.own.as_ref().filter(|_| self.is_ready());
        let own = own.map(|own| FrontCandidate {
            address: own.address,
            domain: own.domain.clone(),
            relative_size: view.share.relative_size(own.capacity),
            is_started: true,
        });
        let members = self.group.members();
        let others = members.iter().skip(1).filter_map(|member| {
            let has_config = member
                .config
                .is_some_and(|config| config.progress > DigestProgress::default());
            let record = &member.record;
            let candidate = FrontCandidate {
                address: record.caller_address?,
                domain: record.domain.clone(),
                relative_size: view.share.relative_size(record.capacity),
                is_started: front_choice::is_presumed_started(
                    has_config,
                    now.since(member.discovered_at),
                ),
            };
            (member.state == state).then_some(candidate)
        });
        own.into_iter().chain(others).collect()
    }
}
