//! Place of a front in the order in which fronts reach for the store.

/// The number of fronts that query one front.
const FRONTS_PER_PLACE: usize = 16;

/// The number of fronts that list the store at the shortest pause while the store answers nobody.
const FREQUENT_LISTERS: usize = 3;

/// Place of a front among the live fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupPlace {
    /// The place; 0 is the front that lists the store for all.
    pub own: usize,
    /// The place of the first front of the own failure domain; the own place, if it is this front.
    pub domain_first: usize,
    /// The number of live fronts, this one included.
    pub nodes: usize,
}

impl GroupPlace {
    /// Returns true if the front lists the store for all.
    #[must_use]
    pub const fn is_first(self) -> bool {
        self.own == 0
    }

    /// Returns true if the front lists the store without a pause that grows with the group, while no
    /// proof arrives. One front of each failure domain does, since a domain may be cut off from the
    /// others and not from the store.
    #[must_use]
    pub const fn is_frequent_lister(self) -> bool {
        self.own < FREQUENT_LISTERS || self.own == self.domain_first
    }

    /// Returns the place of the front that this one queries; `None` for the first.
    ///
    /// It is the last of the first `own / 16` places, rounded up. If all of these were queried alike,
    /// the first front would answer 67 queries per second in a group of 580.
    #[must_use]
    pub const fn queried_place(self) -> Option<usize> {
        self.own.div_ceil(FRONTS_PER_PLACE).checked_sub(1)
    }

    /// Returns the number of fronts that a proof passes on its way from the store to here.
    #[must_use]
    pub const fn hops(self) -> usize {
        let mut place = self;
        let mut hops = 0;
        while let Some(own) = place.queried_place() {
            place.own = own;
            hops += 1;
        }
        hops
    }
}
