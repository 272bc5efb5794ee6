//! Simulation of nodes that follow one kind of object in the store, on passed-in time.
//!
//! Each node repeats what the store follower of a front does: it watches while the plan assigns it, lists
//! when it takes over, and reports that it lost the store. News, reports and the age of the store's
//! answers reach all other nodes after one delay.

use alderhaven_core::time::{TimePoint, TimeSpan};
use alderhaven_policy::group_front::GroupFront;
use alderhaven_policy::store_watch_plan::{StoreContact, WatchOptions, WatchPlan};

/// The step of the simulation.
const TICK: TimeSpan = TimeSpan::from_millis(10);
/// The way to the store and back.
const ROUND_TRIP: TimeSpan = TimeSpan::from_millis(30);
/// The time after which a list that is not answered has failed.
const LIST_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// The time between two looks at the plan. A front is woken by reports and by the age of the latest answer
/// instead.
const PLAN_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// What happens to some hosts.
#[derive(Clone, Debug)]
pub struct HostTrouble {
    /// The hosts.
    pub hosts: Vec<String>,
    /// When it begins.
    pub from: TimePoint,
    /// When it ends.
    pub until: TimePoint,
    /// Whether the hosts stand still, instead of being cut off from the store without a reset.
    pub is_frozen: bool,
}

/// A group of nodes, the store's only object, and what the nodes know of it.
pub struct WatchSimulation {
    options: WatchOptions,
    delay: TimeSpan,
    changes: Vec<TimePoint>,
    troubles: Vec<HostTrouble>,
    nodes: Vec<SimulatedNode>,
    now: TimePoint,
    /// The number of calls to the store.
    pub calls: usize,
}

struct SimulatedNode {
    front: GroupFront,
    others: Vec<GroupFront>,
    call: Option<StoreCall>,
    /// No call before this time.
    idle_until: TimePoint,
    next_look: TimePoint,
    pause: TimeSpan,
    has_list: bool,
    /// The number of changes that the node knows, and when each became known.
    known: Vec<TimePoint>,
    answered_at: Option<TimePoint>,
    report: Option<StoreContact>,
}

#[derive(Clone, Copy)]
struct StoreCall {
    sent_at: TimePoint,
    /// The wait of a watch; `None` for a list.
    wait: Option<TimeSpan>,
    limit: TimeSpan,
    is_probe: bool,
}

impl WatchSimulation {
    /// Creates a group that has just listed the store. `changes` are the times of the object's changes.
    pub fn new(
        fronts: &[GroupFront],
        options: WatchOptions,
        delay: TimeSpan,
        changes: Vec<TimePoint>,
        troubles: Vec<HostTrouble>,
    ) -> Self {
        let node = |own: &GroupFront| SimulatedNode {
            front: own.clone(),
            others: fronts
                .iter()
                .filter(|front| *front != own)
                .cloned()
                .collect(),
            call: None,
            idle_until: TimePoint::START,
            next_look: TimePoint::START,
            pause: TimeSpan::ZERO,
            has_list: true,
            known: Vec::new(),
            answered_at: Some(TimePoint::START),
            report: None,
        };
        Self {
            options,
            delay,
            changes,
            troubles,
            nodes: fronts.iter().map(node).collect(),
            now: TimePoint::START,
            calls: 0,
        }
    }

    /// Returns the hosts of the nodes that watch now.
    pub fn watching_hosts(&self) -> Vec<String> {
        let watching = self.nodes.iter().filter(|node| node.call.is_some());
        watching.map(|node| node.front.host.to_string()).collect()
    }

    pub fn add_trouble(&mut self, trouble: HostTrouble) {
        self.troubles.push(trouble);
    }

    pub fn add_change(&mut self, at: TimePoint) {
        self.changes.push(at);
    }

    pub fn now(&self) -> TimePoint {
        self.now
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: TimePoint) {
        while self.now < end {
            for index in 0..self.nodes.len() {
                if !self.has_trouble(index, self.now, true) {
                    self.step(index);
                }
            }
            self.now = self.now + TICK;
        }
    }

    /// Returns the longest time for which a node without trouble did not know a change.
    pub fn longest_delay(&self) -> TimeSpan {
        let untroubled = (0..self.nodes.len()).filter(|index| !self.was_troubled(*index));
        let delays = untroubled.flat_map(|index| {
            let known = &self.nodes[index].known;
            let changes = self.changes.iter().enumerate();
            changes.map(move |(number, changed_at)| {
                let known_at = known.get(number).copied().unwrap_or(self.now);
                known_at.since(*changed_at)
            })
        });
        delays.max().unwrap_or_default()
    }

    fn was_troubled(&self, index: usize) -> bool {
        let host = self.nodes[index].front.host.as_str();
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| trouble.hosts.iter().any(|other| other == host))
    }

    fn has_trouble(&self, index: usize, at: TimePoint, is_frozen: bool) -> bool {
        let host = self.nodes[index].front.host.as_str();
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            trouble.is_frozen == is_frozen
                && (trouble.from..trouble.until).contains(&at)
                && trouble.hosts.iter().any(|other| other == host)
        })
    }

    /// Returns true if a connection that was used at `from` has gone silent by now.
    fn is_silent(&self, index: usize, from: TimePoint) -> bool {
        let host = self.nodes[index].front.host.as_str();
        let mut troubles = self.troubles.iter();
        troubles.any(|trouble| {
            trouble.hosts.iter().any(|other| other == host)
                && trouble.from <= self.now
                && trouble.until > from
        })
    }

    fn step(&mut self, index: usize) {
        self.learn_from_others(index);
        match self.nodes[index].call {
            Some(call) => self.continue_call(index, call),
            None => self.start_call(index),
        }
    }

    fn learn_from_others(&mut self, index: usize) {
        let heard = self.nodes.iter().enumerate();
        let heard = heard.filter(|(other, _)| *other != index);
        let (now, delay) = (self.now, self.delay);
        let count = heard
            .map(|(_, node)| {
                let known = node.known.iter();
                known.filter(|at| **at + delay <= now).count()
            })
            .max();
        let node = &mut self.nodes[index];
        let count = count.unwrap_or_default();
        while node.known.len() < count {
            node.known.push(now);
        }
    }

    fn start_call(&mut self, index: usize) {
        let node = &self.nodes[index];
        if self.now < node.idle_until || self.now < node.next_look {
            return;
        }
        if !self.should_watch(index) {
            let node = &mut self.nodes[index];
            node.has_list = false;
            node.next_look = self.now + PLAN_INTERVAL;
            return;
        }
        self.calls += 1;
        let timing = self.options.timing;
        let node = &mut self.nodes[index];
        let wait = node.has_list.then(|| timing.watch_wait(node.pause));
        let limit = wait.map_or(LIST_TIMEOUT, |wait| {
            wait + timing.answer_grace(TimeSpan::ZERO)
        });
        node.call = Some(StoreCall {
            sent_at: self.now,
            wait,
            limit,
            is_probe: false,
        });
    }

    fn should_watch(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        let heard = |at: TimePoint| at + self.delay <= self.now;
        let others = self.nodes.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        let answered = others.clone().filter_map(|(_, other)| other.answered_at);
        // While a later answer is under way an earlier one, which is not kept, is known: it counts as new.
        let answered = answered.map(|at| if heard(at) { at } else { self.now });
        let answered_at = answered.max();
        let reports = others.filter_map(|(_, other)| other.report.clone());
        let reports = reports.filter(|report| heard(report.reported_at));
        let contacts: Vec<StoreContact> = reports.chain(node.report.clone()).collect();
        let plan = WatchPlan {
            own: &node.front,
            others: &node.others,
            contacts: &contacts,
            answered_age: answered_at.map(|at| self.now.since(at)),
        };
        plan.should_watch(&self.options, self.now)
    }

    fn continue_call(&mut self, index: usize, call: StoreCall) {
        let waited = self.now.since(call.sent_at);
        if self.is_silent(index, call.sent_at) {
            if waited >= call.limit {
                self.fail_call(index, call);
            }
            return;
        }
        let unknown = self.nodes[index].known.len() < self.known_to_store();
        let is_due = match call.wait {
            Some(wait) => unknown || waited >= wait,
            None => true,
        };
        if is_due && waited >= ROUND_TRIP {
            self.answer_call(index);
        }
    }

    fn known_to_store(&self) -> usize {
        let changes = self.changes.iter();
        changes.filter(|at| **at + ROUND_TRIP <= self.now).count()
    }

    fn answer_call(&mut self, index: usize) {
        let (now, count) = (self.now, self.known_to_store());
        let limit = TimeSpan::from_millis(500);
        let pause = self.options.timing.batch_pause(limit);
        let node = &mut self.nodes[index];
        let is_changed = node.known.len() < count || !node.has_list;
        while node.known.len() < count {
            node.known.push(now);
        }
        node.call = None;
        node.has_list = true;
        node.answered_at = Some(now);
        node.pause = if is_changed { pause } else { TimeSpan::ZERO };
        node.idle_until = now + node.pause;
        let node_id = node.front.node.clone();
        if node
            .report
            .as_ref()
            .is_some_and(|report| !report.is_reached)
        {
            node.report = Some(StoreContact {
                node: node_id,
                is_reached: true,
                reported_at: now,
            });
        }
    }

    fn fail_call(&mut self, index: usize, call: StoreCall) {
        let now = self.now;
        let options = self.options.clone();
        let node = &mut self.nodes[index];
        let is_waiting = |report: &StoreContact| report.is_waiting(&options, now);
        if !node.report.as_ref().is_some_and(is_waiting) {
            node.report = Some(StoreContact {
                node: node.front.node.clone(),
                is_reached: false,
                reported_at: now,
            });
        }
        node.pause = TimeSpan::ZERO;
        if call.wait.is_some() && !call.is_probe {
            self.calls += 1;
            node.call = Some(StoreCall {
                sent_at: now,
                wait: Some(TimeSpan::ZERO),
                limit: LIST_TIMEOUT,
                is_probe: true,
            });
            return;
        }
        node.call = None;
        node.idle_until = now + TimeSpan::from_millis(250);
    }
}
