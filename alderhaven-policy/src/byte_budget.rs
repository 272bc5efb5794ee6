//! Decides who may hold bytes in memory, and who gives way when the budget for them is used up.
//!
//! Whoever has occupied the most memory for the longest gives way, measured in bytes times seconds. Data that
//! arrives steadily is soon complete and occupies little; what stalls is the first to go, however much of
//! it there is. Nobody waits for memory, so nobody waits in vain.

use std::collections::HashMap;

use alderhaven_core::quantities::ByteSize;
use alderhaven_core::time::TimePoint;
use smallvec::SmallVec;

/// Holdings up to this size may use the whole budget.
const SMALL_HOLDING: ByteSize = ByteSize::from_kib(16);

/// The part of the budget that larger holdings leave to small ones.
const SMALL_RESERVE_DIVISOR: usize = 4;

/// The part of what others leave that requests in use with one destination may hold. It leaves some of
/// the budget however many destinations don't answer.
const DESTINATION_DIVISOR: usize = 2;

/// Identifies a holder within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// Identifies where the bytes of requests in use go, such as a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HoldDestination(pub u64);

/// Result of a request for bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// The bytes may be held, and these holders must give up theirs at once.
    Held(SmallVec<[HolderId; 4]>),
    /// The bytes can't be held.
    Refused,
}

/// Bytes that the holders of a process share.
#[derive(Debug)]
pub struct ByteBudget {
    total: usize,
    used: usize,
    peak: usize,
    next_id: u64,
    holders: HashMap<HolderId, Holder>,
    /// The bytes in use by destination.
    destinations: HashMap<HoldDestination, usize>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    /// Bytes times seconds up to `updated_at`.
    occupancy: f64,
    updated_at: TimePoint,
    state: HolderState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderState {
    /// Its data is on the way, and it may have to give it up.
    Moving,
    /// Its data is complete and in use.
    InUse(Option<HoldDestination>),
}

impl Holder {
    fn occupancy(&self, now: TimePoint) -> f64 {
        self.occupancy + self.bytes as f64 * now.since(self.updated_at).as_secs_f64()
    }

    fn set_bytes(&mut self, bytes: usize, now: TimePoint) {
        self.occupancy = self.occupancy(now);
        self.updated_at = now;
        self.bytes = bytes;
    }
}

impl ByteBudget {
    /// Creates a budget of `total` bytes.
    #[must_use]
    pub fn new(total: ByteSize) -> Self {
        Self {
            total: total.as_bytes(),
            used: 0,
            peak: 0,
            next_id: 0,
            holders: HashMap::new(),
            destinations: HashMap::new(),
        }
    }

    /// Gets the size of the budget.
    #[must_use]
    pub const fn total(&self) -> ByteSize {
        ByteSize::from_bytes(self.total)
    }

    /// Gets the bytes that are held.
    #[must_use]
    pub const fn used(&self) -> ByteSize {
        ByteSize::from_bytes(self.used)
    }

    /// Gets the most bytes that were held at any time.
    #[must_use]
    pub const fn peak(&self) -> ByteSize {
        ByteSize::from_bytes(self.peak)
    }

    /// Adds a holder of no bytes, whose data is on the way.
    pub fn add_holder(&mut self, now: TimePoint) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        let holder = Holder {
            bytes: 0,
            occupancy: 0.0,
            updated_at: now,
            state: HolderState::Moving,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Changes the number of bytes of a holder whose data is on the way. Holders that have to give way are
    /// removed.
    pub fn resize(&mut self, id: HolderId, bytes: usize, now: TimePoint) -> HoldDecision {
        let Some(holder) = self.holders.get(&id) else {
            return HoldDecision::Refused;
        };
        if holder.state != HolderState::Moving {
            return HoldDecision::Refused;
        }
        let limit = self.limit_for(bytes);
        let needed = (self.used - holder.bytes + bytes).saturating_sub(limit);
        let is_growing = bytes > holder.bytes;
        let victims = if is_growing && needed > 0 {
            let Some(victims) = self.choose_victims(id, needed, now) else {
                return HoldDecision::Refused;
            };
            victims
        } else {
            SmallVec::new()
        };
        for victim in &victims {
            self.remove_holder(*victim);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used = self.used - holder.bytes + bytes;
            holder.set_bytes(bytes, now);
        }
        self.peak = self.peak.max(self.used);
        HoldDecision::Held(victims)
    }

    /// Records that the data of a holder is complete and in use, so that it can't be given up. Returns false
    /// if its destination holds too much already; nothing is changed then.
    pub fn set_in_use(&mut self, id: HolderId, destination: Option<HoldDestination>) -> bool {
        let large_limit = self.large_limit();
        let Some(holder) = self.holders.get_mut(&id) else {
            return false;
        };
        if holder.state != HolderState::Moving {
            return false;
        }
        if let Some(destination) = destination {
            let in_use: usize = self.destinations.values().sum();
            let own = self.destinations.entry(destination).or_default();
            let others = in_use - *own;
            let limit = large_limit.saturating_sub(others) / DESTINATION_DIVISOR;
            if *own + holder.bytes > limit {
                return false;
            }
            *own += holder.bytes;
        }
        holder.state = HolderState::InUse(destination);
        true
    }

    /// Records that the data of a holder is on its way to a receiver, who has taken none of it yet.
    pub fn set_leaving(&mut self, id: HolderId, now: TimePoint) {
        self.leave_destination(id);
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.state = HolderState::Moving;
            holder.occupancy = 0.0;
            holder.updated_at = now;
        }
    }

    /// Removes a holder and its bytes.
    pub fn remove_holder(&mut self, id: HolderId) {
        self.leave_destination(id);
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }

    const fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_HOLDING.as_bytes() {
            self.total
        } else {
            self.large_limit()
        }
    }

    const fn large_limit(&self) -> usize {
        self.total - self.total / SMALL_RESERVE_DIVISOR
    }

    fn leave_destination(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get(&id) else {
            return;
        };
        if let HolderState::InUse(Some(destination)) = holder.state
            && let Some(bytes) = self.destinations.get_mut(&destination)
        {
            *bytes -= holder.bytes;
            if *bytes == 0 {
                self.destinations.remove(&destination);
            }
        }
    }

    /// Chooses holders that hold `needed` bytes together and have occupied more than `requester` each;
    /// `None` if there are too few.
    fn choose_victims(
        &self,
        requester: HolderId,
        needed: usize,
        now: TimePoint,
    ) -> Option<SmallVec<[HolderId; 4]>> {
        let own = self.holders.get(&requester)?.occupancy(now);
        let mut candidates: Vec<(f64, HolderId, usize)> = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != requester && holder.state == HolderState::Moving)
            .map(|(id, holder)| (holder.occupancy(now), *id, holder.bytes))
            .filter(|(occupancy, _, bytes)| *occupancy > own && *bytes > 0)
            .collect();
        candidates.sort_by(|left, right| right.0.total_cmp(&left.0).then(left.1.cmp(&right.1)));
        let mut freed = 0;
        let mut victims = SmallVec::new();
        for (_, id, bytes) in candidates {
            freed += bytes;
            victims.push(id);
            if freed >= needed {
                return Some(victims);
            }
        }
        None
    }
}
