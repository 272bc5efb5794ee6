//! Which fronts a caller is told to connect to.
//!
//! Load pattern: callers keep an answer for some seconds and connect by themselves. Hosts differ in
//! size.
//!
//! Without it: small hosts take as many callers as large ones and are late.
//!
//! The rules: a front is worth more the larger its host is; the caller's own domain is a bonus. Where
//! the replicas lie does not count: parts of another domain come as one block, whichever front asks.
//! The best group of fronts is named, large enough to carry the callers, and never empty while one
//! front lives. Where a whole failure domain may be lost, fronts of other domains are named beside
//! them, so that a caller whose domain is gone knows where to go before it can ask again.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A `ChoiceOptions` holds the settings of the choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontChoiceOptions {
    /// The score of a front in the caller's domain, against 1 for one on the largest host.
    #[serde(rename = "near_bonus")]
    pub own_domain_bonus: f64,
    /// The fewest fronts that are named where there are as many: one that dies leaves others.
    #[serde(rename = "fewest")]
    pub min_fronts: usize,
    /// The score below the best up to which a front is named.
    #[serde(rename = "spread")]
    pub score_margin: f64,
    /// The most fronts that are named.
    #[serde(rename = "most")]
    pub max_fronts: usize,
    /// The fewest failure domains whose fronts are named, where there are as many.
    #[serde(rename = "domains")]
    pub min_domains: usize,
}

impl Default for FrontChoiceOptions {
    fn default() -> Self {
        Self {
            own_domain_bonus: 0.2,
            min_fronts: 2,
            score_margin: 0.1,
            max_fronts: 64,
            min_domains: 1,
        }
    }
}

/// A `FrontOffer` is a front that may be named.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontCandidate {
    /// Where callers connect.
    pub address: SocketAddr,
    /// The front's failure domain.
    pub domain: FailureDomain,
    /// The size of the front's host against the largest one, 0 to 1.
    pub relative_size: f64,
    /// Whether the front is known to serve, or has run for long enough to.
    pub is_started: bool,
}

/// The time in which a front that starts has a configuration from its peers. One that is named before
/// keeps its callers waiting, or refuses them.
const STARTUP_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// Returns true where a front may be named of which it was first heard `known_for` ago; `has_config` says
/// that it told this process of a configuration. One that told of none may have one since.
#[must_use]
pub fn is_presumed_started(has_config: bool, known_for: TimeSpan) -> bool {
    has_config || known_for >= STARTUP_TIME
}

/// Chooses the fronts for a caller in `domain`, the best first. `turn` differs between answers, so that
/// callers of one domain are spread over the others.
#[must_use]
pub fn choose_fronts(
    offers: &[FrontCandidate],
    domain: Option<&FailureDomain>,
    options: &FrontChoiceOptions,
    turn: usize,
) -> SmallVec<[SocketAddr; 8]> {
    let score = |offer: &FrontCandidate| {
        let is_near = domain == Some(&offer.domain);
        offer.relative_size
            + if is_near {
                options.own_domain_bonus
            } else {
                0.0
            }
    };
    // Where a whole group starts at once, one of those that start is better than none.
    let is_any = offers.iter().any(|offer| offer.is_started);
    let named = offers.iter().filter(|offer| offer.is_started || !is_any);
    let mut scored: Vec<(f64, &FrontCandidate)> =
        named.map(|offer| (score(offer), offer)).collect();
    scored.sort_by(|left, right| {
        let by_score = right.0.total_cmp(&left.0);
        by_score.then_with(|| left.1.address.cmp(&right.1.address))
    });
    let Some(best) = scored.first().map(|first| first.0) else {
        return SmallVec::new();
    };
    let mut chosen: SmallVec<[&FrontCandidate; 8]> = scored
        .iter()
        .enumerate()
        .filter(|(place, (score, _))| {
            *place < options.min_fronts || *score >= best - options.score_margin
        })
        .map(|(_, (_, offer))| *offer)
        .collect();
    add_other_domains(&mut chosen, &scored, options.min_domains, turn);
    let addresses = chosen.iter().map(|offer| offer.address);
    addresses.take(options.max_fronts).collect()
}

/// Adds fronts of other failure domains, as many of each as are named on average of those that are named
/// already, until `domains` are named.
fn add_other_domains<'a>(
    chosen: &mut SmallVec<[&'a FrontCandidate; 8]>,
    scored: &[(f64, &'a FrontCandidate)],
    domains: usize,
    turn: usize,
) {
    let named: BTreeSet<&FailureDomain> = chosen.iter().map(|offer| &offer.domain).collect();
    let each = chosen.len().div_ceil(named.len().max(1));
    let all: BTreeSet<&FailureDomain> = scored.iter().map(|(_, offer)| &offer.domain).collect();
    let mut others: Vec<&FailureDomain> = all.difference(&named).copied().collect();
    let missing = domains.saturating_sub(named.len()).min(others.len());
    if missing == 0 {
        return;
    }
    let first = turn % others.len();
    others.rotate_left(first);
    for domain in &others[..missing] {
        let of_domain = scored.iter().filter(|(_, offer)| offer.domain == **domain);
        chosen.extend(of_domain.take(each).map(|(_, offer)| *offer));
    }
}
