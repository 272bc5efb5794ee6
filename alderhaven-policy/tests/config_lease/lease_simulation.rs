//! Simulation of fronts that keep leases on the configuration of one store.

use alderhaven_core::ids::StoreEra;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::config_lease::{ConfigLease, LeaseOptions, LeaseStatus};
use alderhaven_policy::group_place::GroupPlace;
use alderhaven_policy::lease_step::LeaseStep;
use alderhaven_policy::query_receiver::QueryReceiver;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Time within which a removed key must stop working.
pub const BOUND_MS: u64 = 5_000;

/// Number of failure domains.
pub const DOMAINS: usize = 3;

/// Time of one step of the simulation.
const STEP_MS: u64 = 10;

/// Time after which a list call is reported as unanswered.
const LIST_TIMEOUT_MS: u64 = 500;

/// Time for which a report that the store does not answer a front counts.
const CONTACT_LOSS_MS: u64 = 5_000;

/// Interval in which each front compares its configuration with one other front.
const EXCHANGE_INTERVAL_MS: u64 = 500;

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    pub revision: u64,
    pub is_silent: bool,
    /// Removals of a key: when the store acknowledged each, and the version.
    pub removals: Vec<(u64, StoreVersion)>,
}

/// A front with its own clock.
#[derive(Debug)]
pub struct Front {
    pub lease: ConfigLease,
    pub held: Option<StoreVersion>,
    pub is_store_refused: bool,
    pub is_cut: bool,
    pub is_exchange_stopped: bool,
    pub suspended_until: u64,
    started_at: u64,
    clock_rate: f64,
    incarnation: u64,
    contact_lost_at: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
enum Message {
    Query {
        sender: usize,
        number: u64,
    },
    Reply {
        number: u64,
        proof: Option<(TimeSpan, StoreVersion)>,
    },
    ListCall {
        sender: usize,
        incarnation: u64,
        sent_at: TimePoint,
    },
    ListAnswer {
        incarnation: u64,
        sent_at: TimePoint,
        version: StoreVersion,
    },
    ListOverdue {
        incarnation: u64,
    },
    Config(StoreVersion),
}

#[derive(Debug)]
struct Delivery {
    due: u64,
    receiver: usize,
    message: Message,
}

/// Fronts, links and a store, in steps of simulated time.
#[derive(Debug)]
pub struct LeaseSimulation {
    pub now: u64,
    pub store: Store,
    pub fronts: Vec<Front>,
    /// Probability that a message between fronts is lost.
    pub loss: f64,
    /// Longest delay of a message.
    pub max_delay: u64,
    /// Whether the failure domains are cut off from each other.
    pub are_domains_cut: bool,
    pub list_calls: usize,
    pub queries: usize,
    deliveries: Vec<Delivery>,
    rng: StdRng,
    options: LeaseOptions,
}

impl LeaseSimulation {
    pub fn new(fronts: usize, seed: u64) -> Self {
        let bound = TimeSpan::from_millis(BOUND_MS);
        let mut simulation = Self {
            now: 1_000,
            store: Store {
                revision: 1,
                ..Store::default()
            },
            fronts: Vec::new(),
            loss: 0.0,
            max_delay: 4,
            are_domains_cut: false,
            list_calls: 0,
            queries: 0,
            deliveries: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            options: LeaseOptions {
                revocation_bound: Some(bound),
            },
        };
        for _ in 0..fronts {
            let front = simulation.new_front(0);
            simulation.fronts.push(front);
        }
        simulation
    }

    fn new_front(&mut self, incarnation: u64) -> Front {
        Front {
            lease: ConfigLease::new(self.options, self.rng.random()),
            held: None,
            is_store_refused: false,
            is_cut: false,
            is_exchange_stopped: false,
            suspended_until: 0,
            started_at: self.now,
            clock_rate: self.rng.random_range(0.99..1.01),
            incarnation,
            contact_lost_at: None,
        }
    }

    /// Replaces a front by a new process at the same address.
    pub fn restart(&mut self, index: usize) {
        let known = &self.fronts[index];
        let (is_store_refused, is_cut) = (known.is_store_refused, known.is_cut);
        let front = self.new_front(known.incarnation + 1);
        self.fronts[index] = Front {
            is_store_refused,
            is_cut,
            ..front
        };
    }

    /// Writes a configuration that lacks a key. The store acknowledges it at once.
    pub fn remove_key(&mut self) {
        self.store.revision += 1;
        let version = StoreVersion::of_revision(self.store.revision);
        self.store.removals.push((self.now, version));
        for receiver in 0..self.fronts.len() {
            if self.rng.random_bool(0.7) {
                let due = self.now + self.rng.random_range(0..600);
                let message = Message::Config(version);
                self.deliveries.push(Delivery {
                    due,
                    receiver,
                    message,
                });
            }
        }
    }

    /// Runs for a time; after each step the keys that a front accepts are checked.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver_messages();
            self.exchange_configurations();
            let order = self.order();
            for place in 0..order.len() {
                if self.fronts[order[place]].suspended_until <= self.now {
                    self.take_steps(&order, place);
                }
            }
            self.check_accepted_keys();
        }
    }

    pub fn status(&self, index: usize) -> LeaseStatus {
        let front = &self.fronts[index];
        front.lease.status(self.clock(index))
    }

    pub fn ended_count(&self) -> usize {
        let ended = |index: &usize| self.status(*index) == LeaseStatus::Ended;
        (0..self.fronts.len()).filter(ended).count()
    }

    /// Returns the age of the oldest proof.
    pub fn max_proof_age(&self) -> Option<TimeSpan> {
        let ages = (0..self.fronts.len())
            .map(|index| self.fronts[index].lease.proof_age(self.clock(index)));
        ages.collect::<Option<Vec<TimeSpan>>>()?.into_iter().max()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "simulated times are small and positive"
    )]
    fn clock(&self, index: usize) -> TimePoint {
        let front = &self.fronts[index];
        let elapsed = (self.now - front.started_at) as f64 * 1_000.0 * front.clock_rate;
        TimePoint::from_micros(elapsed as u64)
    }

    /// A front never accepts a key later than the bound after its removal was acknowledged.
    fn check_accepted_keys(&self) {
        for index in 0..self.fronts.len() {
            let front = &self.fronts[index];
            let accepts = |version: StoreVersion| {
                front.held.is_some_and(|held| held < version)
                    && self.status(index) != LeaseStatus::Ended
            };
            let late =
                self.store.removals.iter().find(|(acked_at, version)| {
                    self.now > acked_at + BOUND_MS && accepts(*version)
                });
            assert!(
                late.is_none(),
                "front {index} accepts a removed key at {}: {late:?}",
                self.now
            );
        }
    }

    fn deliver_messages(&mut self) {
        let now = self.now;
        let mut pending = std::mem::take(&mut self.deliveries);
        let due = pending.extract_if(.., |delivery| delivery.due <= now);
        let mut due: Vec<Delivery> = due.collect();
        self.deliveries = pending;
        // A message to a suspended front waits in its queue.
        let fronts = &self.fronts;
        let waiting = due.extract_if(.., |delivery| {
            let is_at_store = matches!(delivery.message, Message::ListCall { .. });
            !is_at_store && fronts[delivery.receiver].suspended_until > now
        });
        let waiting: Vec<Delivery> = waiting.collect();
        self.deliveries.extend(waiting);
        for delivery in due {
            self.handle(delivery.receiver, delivery.message);
        }
    }

    fn handle(&mut self, receiver: usize, message: Message) {
        match message {
            Message::Query { sender, number } => {
                let now = self.clock(receiver);
                let proof = self.fronts[receiver].lease.proof();
                let proof = proof.map(|proof| (proof.age(now), proof.version));
                self.send(receiver, sender, Message::Reply { number, proof });
            }
            Message::Reply { number, proof } => {
                self.fronts[receiver].lease.record_reply(number, proof);
            }
            Message::ListCall {
                sender,
                incarnation,
                sent_at,
            } => self.answer_list(sender, incarnation, sent_at),
            Message::ListAnswer {
                incarnation,
                sent_at,
                version,
            } => {
                if self.fronts[receiver].incarnation == incarnation {
                    self.fronts[receiver].contact_lost_at = None;
                    self.accept_config(receiver, version);
                    let lease = &mut self.fronts[receiver].lease;
                    lease.record_list(sent_at, version);
                }
            }
            Message::ListOverdue { incarnation } => {
                let front = &mut self.fronts[receiver];
                if front.incarnation == incarnation {
                    front.contact_lost_at = Some(self.now);
                }
            }
            Message::Config(version) => {
                let front = &self.fronts[receiver];
                if !front.is_cut && !front.is_exchange_stopped {
                    self.accept_config(receiver, version);
                }
            }
        }
    }

    fn answer_list(&mut self, sender: usize, incarnation: u64, sent_at: TimePoint) {
        if self.store.is_silent || self.fronts[sender].is_store_refused {
            return;
        }
        let version = StoreVersion::of_revision(self.store.revision).in_era(StoreEra(0));
        let answer = Message::ListAnswer {
            incarnation,
            sent_at,
            version,
        };
        let due = self.now + self.delay();
        self.deliveries
            .retain(|delivery| !is_overdue_of(delivery, sender, due));
        self.deliveries.push(Delivery {
            due,
            receiver: sender,
            message: answer,
        });
    }

    fn accept_config(&mut self, index: usize, version: StoreVersion) {
        let front = &mut self.fronts[index];
        front.held = front.held.max(Some(version));
        front.lease.record_held(version);
    }

    fn exchange_configurations(&mut self) {
        if !self.now.is_multiple_of(EXCHANGE_INTERVAL_MS) {
            return;
        }
        let count = self.fronts.len();
        for index in 0..count {
            // A front notices a difference from the gossip of others, most of which is of its domain.
            let near: Vec<usize> = (index % DOMAINS..count).step_by(DOMAINS).collect();
            let near = near[self.rng.random_range(0..near.len())];
            let peers = [near, self.rng.random_range(0..count)];
            let front = &self.fronts[index];
            let is_awake = front.suspended_until <= self.now && !front.is_exchange_stopped;
            for peer in peers {
                let is_reached = is_awake && self.is_connected(index, peer);
                if let Some(held) = self.fronts[peer].held.filter(|_| is_reached) {
                    self.accept_config(index, held);
                }
            }
        }
    }

    fn take_steps(&mut self, order: &[usize], own: usize) {
        let index = order[own];
        let is_near = |other: &usize| other % DOMAINS == index % DOMAINS;
        let place = GroupPlace {
            own,
            domain_first: order.iter().position(is_near).unwrap_or(own),
            nodes: order.len(),
        };
        let now = self.clock(index);
        loop {
            let random = self.rng.random_range(0.0..1.0);
            let front = &mut self.fronts[index];
            match front.lease.next_step(place, now, random) {
                Some(LeaseStep::ListStore) => self.list_store(index, now),
                Some(LeaseStep::Query { number, receiver }) => {
                    let receiver = self.find_receiver(order, place, receiver);
                    assert_ne!(receiver, index, "a front queries itself");
                    self.queries += 1;
                    let query = Message::Query {
                        sender: index,
                        number,
                    };
                    self.send(index, receiver, query);
                }
                None => return,
            }
        }
    }

    fn find_receiver(
        &mut self,
        order: &[usize],
        place: GroupPlace,
        receiver: QueryReceiver,
    ) -> usize {
        let index = order[place.own];
        let is_near = |other: &usize| other % DOMAINS == index % DOMAINS;
        let others = order.iter().copied().filter(|other| *other != index);
        let near: Vec<usize> = others.clone().filter(is_near).collect();
        let candidates = match receiver {
            QueryReceiver::Place(place) => return order[place],
            QueryReceiver::OwnDomain if !near.is_empty() => near,
            QueryReceiver::OwnDomain | QueryReceiver::Any => others.collect(),
        };
        candidates[self.rng.random_range(0..candidates.len())]
    }

    fn list_store(&mut self, index: usize, sent_at: TimePoint) {
        self.list_calls += 1;
        let incarnation = self.fronts[index].incarnation;
        let call = Message::ListCall {
            sender: index,
            incarnation,
            sent_at,
        };
        let overdue = Message::ListOverdue { incarnation };
        let call_due = self.now + self.delay();
        for (due, message) in [(call_due, call), (self.now + LIST_TIMEOUT_MS, overdue)] {
            self.deliveries.push(Delivery {
                due,
                receiver: index,
                message,
            });
        }
    }

    /// Returns the order of the fronts; those that the store does not answer are the last.
    fn order(&self) -> Vec<usize> {
        let is_lost = |index: &usize| {
            let lost_at = self.fronts[*index].contact_lost_at;
            lost_at.is_some_and(|lost_at| self.now - lost_at < CONTACT_LOSS_MS)
        };
        let mut order: Vec<usize> = (0..self.fronts.len()).collect();
        order.sort_by_key(|index| (is_lost(index), *index));
        order
    }

    fn send(&mut self, sender: usize, receiver: usize, message: Message) {
        let is_lost = self.rng.random_bool(self.loss);
        if is_lost || !self.is_connected(sender, receiver) {
            return;
        }
        let due = self.now + self.delay();
        self.deliveries.push(Delivery {
            due,
            receiver,
            message,
        });
    }

    fn is_connected(&self, one: usize, other: usize) -> bool {
        let is_cut = self.fronts[one].is_cut || self.fronts[other].is_cut;
        let is_same_domain = one % DOMAINS == other % DOMAINS;
        !is_cut && (is_same_domain || !self.are_domains_cut)
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(0..=self.max_delay)
    }
}

/// Returns true if the delivery reports a list call of a front as unanswered after `answered_at`.
fn is_overdue_of(delivery: &Delivery, front: usize, answered_at: u64) -> bool {
    let is_overdue = matches!(delivery.message, Message::ListOverdue { .. });
    is_overdue && delivery.receiver == front && delivery.due > answered_at
}
