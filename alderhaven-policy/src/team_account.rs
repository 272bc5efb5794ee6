//! One team's credit at one front.

use alderhaven_core::time::{TimePoint, TimeSpan};
use smallvec::SmallVec;

use crate::quota_bound::QuotaBound;
use crate::reserve_history::ReserveHistory;
use crate::share_bucket::ShareBucket;
use crate::share_history::ShareHistory;
use crate::team_limit::TeamLimit;

/// Time over which the demand of a team is averaged.
const DEMAND_TIME: TimeSpan = TimeSpan::from_millis(500);

/// How much of the demand a front asks for in advance.
const PREFETCH_TIME: TimeSpan = TimeSpan::from_millis(200);

/// Longest time without query after a denial; after that the group may have changed.
const MAX_QUERY_PAUSE: TimeSpan = TimeSpan::from_secs(1);

/// Credit from which one request runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CreditSource {
    /// Granted by a pool.
    Granted(GrantedLot),
    /// The front's own share, which is not delegated.
    OwnShare,
    /// The reserve for times without credit of the pool.
    Reserve,
}

/// Credit of one request, with what is needed to return it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakenCredit {
    source: CreditSource,
    taken_at: TimePoint,
}

/// Identifies a grant: until when it may be used, the pool to which it is returned, and when that
/// pool granted it by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLot {
    pub(crate) expires_at: TimePoint,
    pub(crate) contact: u64,
    pub(crate) granted_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct CreditLot {
    lot: GrantedLot,
    count: u32,
}

/// Credit and demand of one team.
#[derive(Clone, Debug)]
pub(crate) struct TeamAccount {
    lots: SmallVec<[CreditLot; 4]>,
    own_share: ShareBucket,
    reserve: ShareBucket,
    /// What this front may run by its own configuration, whatever a pool grants.
    ceiling: ShareBucket,
    demand: f64,
    demand_at: TimePoint,
    /// Requests that wait for a reply.
    pub(crate) waiting: u32,
    /// Requests for which credit was asked in queries without reply.
    asked: u32,
    asked_at: TimePoint,
    /// Credit that expired and was not reported yet.
    expired: u32,
    /// Unused credit to return.
    returned: SmallVec<[CreditLot; 1]>,
    /// Until then the team is refused without a query.
    denied_until: TimePoint,
    /// When the pool has credit again, which may be later.
    credit_at: TimePoint,
    /// Until then the pool is known not to serve this team.
    unserved_until: TimePoint,
}

impl TeamAccount {
    pub(crate) fn new(
        bound: &QuotaBound,
        limit: TeamLimit,
        local: &ShareHistory,
        reserve: &ReserveHistory,
        now: TimePoint,
    ) -> Self {
        Self {
            lots: SmallVec::new(),
            own_share: ShareBucket::with_history(bound.grant_limit(limit), local, now),
            reserve: reserve.new_bucket(bound, now),
            ceiling: ShareBucket::full(bound.front_limit(limit), 1.0, now),
            demand: 0.0,
            demand_at: now,
            waiting: 0,
            asked: 0,
            asked_at: now,
            expired: 0,
            returned: SmallVec::new(),
            denied_until: now,
            credit_at: now,
            unserved_until: now,
        }
    }

    pub(crate) fn set_limit(&mut self, bound: &QuotaBound, limit: TeamLimit, now: TimePoint) {
        self.own_share.set_limit(bound.grant_limit(limit), now);
        self.ceiling.set_limit(bound.front_limit(limit), now);
    }

    pub(crate) fn set_local_share(&mut self, share: f64, now: TimePoint) {
        self.own_share.set_share(share, now);
    }

    pub(crate) fn set_reserve_share(&mut self, share: f64, now: TimePoint) {
        self.reserve.set_share(share, now);
    }

    /// Adds what a front's reserve holds at its start.
    pub(crate) fn fill_reserve(&mut self, count: f64, now: TimePoint) {
        self.reserve.add(count, now);
    }

    /// Counts a request that asks for credit.
    pub(crate) fn note_demand(&mut self, now: TimePoint) {
        self.demand = self.demand_rate(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    /// Takes credit that needs no reply of a pool.
    pub(crate) fn take(&mut self, now: TimePoint) -> Option<TakenCredit> {
        self.expire(now);
        self.take_from(now, |account| {
            if let Some(lot) = account.take_granted() {
                return Some(CreditSource::Granted(lot));
            }
            (account.own_share.take(1, now) > 0).then_some(CreditSource::OwnShare)
        })
    }

    /// Takes credit from the reserve.
    pub(crate) fn take_reserve(&mut self, now: TimePoint) -> Option<TakenCredit> {
        self.take_from(now, |account| {
            (account.reserve.take(1, now) > 0).then_some(CreditSource::Reserve)
        })
    }

    fn take_from(
        &mut self,
        now: TimePoint,
        take: impl FnOnce(&mut Self) -> Option<CreditSource>,
    ) -> Option<TakenCredit> {
        if self.ceiling.take(1, now) == 0 {
            return None;
        }
        let source = take(self);
        if source.is_none() {
            self.ceiling.give_back(1, now, now);
        }
        source.map(|source| TakenCredit {
            source,
            taken_at: now,
        })
    }

    fn take_granted(&mut self) -> Option<GrantedLot> {
        let first = self.lots.first_mut()?;
        first.count -= 1;
        let lot = first.lot;
        if first.count == 0 {
            self.lots.remove(0);
        }
        Some(lot)
    }

    /// Takes back the credit of a request that did not run. Returns `true` if it can be used again.
    pub(crate) fn give_back(&mut self, credit: TakenCredit, now: TimePoint) -> bool {
        self.ceiling.give_back(1, credit.taken_at, now);
        match credit.source {
            CreditSource::Granted(lot) => {
                self.add_lot(lot, 1);
                self.expire(now) == 0
            }
            CreditSource::OwnShare => {
                self.own_share.give_back(1, credit.taken_at, now);
                true
            }
            CreditSource::Reserve => {
                self.reserve.give_back(1, credit.taken_at, now);
                true
            }
        }
    }

    /// Adds granted credit; lots that expire first are used first.
    pub(crate) fn add_lot(&mut self, lot: GrantedLot, count: u32) {
        if count == 0 {
            return;
        }
        if let Some(known) = self.lots.iter_mut().find(|known| known.lot == lot) {
            known.count += count;
            return;
        }
        let place = self
            .lots
            .iter()
            .take_while(|known| known.lot.expires_at <= lot.expires_at)
            .count();
        self.lots.insert(place, CreditLot { lot, count });
    }

    /// Collects expired credit to return it to its pool, and returns how much expired.
    fn expire(&mut self, now: TimePoint) -> u32 {
        let mut expired = 0;
        while let Some(first) = self.lots.first().copied() {
            if first.lot.expires_at > now {
                break;
            }
            self.lots.remove(0);
            expired += first.count;
            self.returned.push(first);
        }
        self.expired = self.expired.saturating_add(expired);
        expired
    }

    /// Returns how much credit expired since the latest call.
    pub(crate) fn take_expired(&mut self, now: TimePoint) -> u32 {
        self.expire(now);
        std::mem::take(&mut self.expired)
    }

    /// Returns the unused credit of a pool, by the time at which it was granted, and forgets that of
    /// others.
    pub(crate) fn take_returned(
        &mut self,
        contact: u64,
        now: TimePoint,
    ) -> SmallVec<[(TimePoint, u32); 1]> {
        self.expire(now);
        let returned = self.returned.drain(..);
        returned
            .filter(|unused| unused.lot.contact == contact)
            .map(|unused| (unused.lot.granted_at, unused.count))
            .collect()
    }

    /// Returns `true` if there is unused credit to return.
    pub(crate) fn has_returned(&self) -> bool {
        !self.returned.is_empty()
    }

    /// Returns for how many requests credit should be asked now.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the demand is not negative, and the cast saturates"
    )]
    pub(crate) fn wanted(&self, limit: TeamLimit, now: TimePoint) -> u32 {
        if self.asked > 0 || now < self.denied_until || now < self.unserved_until {
            return 0;
        }
        let steady = self.demand_rate(now).min(limit.rate.per_second());
        let prefetch = (steady * PREFETCH_TIME.as_secs_f64()) as u32;
        let held: u32 = self.lots.iter().map(|lot| lot.count).sum();
        if self.waiting == 0 && held * 2 >= prefetch {
            return 0;
        }
        (self.waiting + prefetch).saturating_sub(held)
    }

    /// Records that credit was asked for.
    pub(crate) fn note_asked(&mut self, wanted: u32, now: TimePoint) {
        self.asked += wanted;
        self.asked_at = now;
    }

    /// Records that a query will not be answered any more.
    pub(crate) fn forget_asked(&mut self, wanted: u32) {
        self.asked = self.asked.saturating_sub(wanted);
    }

    /// Allows another query if the latest one was sent at least `pause` ago.
    pub(crate) fn allow_repeat(&mut self, pause: TimeSpan, now: TimePoint) {
        if now.since(self.asked_at) >= pause {
            self.asked = 0;
        }
    }

    /// Records that the pool has no more credit for some time.
    pub(crate) fn note_denied(&mut self, delay: TimeSpan, now: TimePoint) {
        self.denied_until = now + delay.min(MAX_QUERY_PAUSE);
        self.credit_at = now + delay;
    }

    /// Records that another pool decides from now on.
    pub(crate) fn note_pool_change(&mut self, now: TimePoint) {
        self.allow_repeat(TimeSpan::ZERO, now);
        self.denied_until = now;
        self.unserved_until = now;
    }

    /// Records that the pool does not serve this team until a time.
    pub(crate) fn note_unserved(&mut self, until: TimePoint) {
        self.unserved_until = until;
    }

    /// Returns the time until the team may have credit again, while it is refused without a query.
    pub(crate) fn denied_for(&self, now: TimePoint) -> Option<TimeSpan> {
        (now < self.denied_until).then(|| now.until(self.credit_at))
    }

    /// Returns `true` while the pool is known not to serve this team.
    pub(crate) fn is_unserved(&self, now: TimePoint) -> bool {
        now < self.unserved_until
    }

    /// Returns the time until this front's configuration allows another request, if it allows none now.
    pub(crate) fn over_ceiling(&mut self, now: TimePoint) -> Option<TimeSpan> {
        let delay = self.ceiling.until_next(now)?;
        (delay > TimeSpan::ZERO).then_some(delay)
    }

    fn demand_rate(&self, now: TimePoint) -> f64 {
        let elapsed = now.since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }
}
