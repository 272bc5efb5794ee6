//! Choice of the fronts that a caller is told to connect to.
//!
//! Callers keep the answer for some seconds and connect by themselves. A front scores by the
//! relative size of its host plus a bonus for the caller's own failure domain. All fronts close to
//! the best score are named, and fronts of further domains as well if callers must survive the loss
//! of a domain.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FrontChoiceOptions {
    /// The score added for a front in the caller's domain; a front on the largest host scores 1
    /// without it.
    #[serde(rename = "near_bonus")]
    pub own_domain_bonus: f64,
    /// The minimum number of fronts named, as far as there are that many.
    #[serde(rename = "fewest")]
    pub min_fronts: usize,
    /// Fronts that score at most this much below the best are named.
    #[serde(rename = "spread")]
    pub score_margin: f64,
    /// The maximum number of fronts named.
    #[serde(rename = "most")]
    pub max_fronts: usize,
    /// The minimum number of failure domains whose fronts are named, as far as there are that many.
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

/// A front that may be named.
#[derive(Clone, Debug, PartialEq)]
pub struct FrontCandidate {
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The front's failure domain.
    pub domain: FailureDomain,
    /// The size of the front's host relative to the largest one, from 0 to 1.
    pub relative_size: f64,
    /// Whether the front is known to have a configuration, or has been up for long enough to have one.
    pub is_started: bool,
}

/// The time in which a starting front obtains a configuration. A front that is named earlier makes its
/// callers wait or refuses them.
const STARTUP_TIME: TimeSpan = TimeSpan::from_millis(1_000);

/// Returns `true` if a front that was discovered `known_for` ago may be named. `has_config` says
/// that it reported a configuration; one that did not may have obtained one since.
#[must_use]
pub fn is_presumed_started(has_config: bool, known_for: TimeSpan) -> bool {
    has_config || known_for >= STARTUP_TIME
}

/// Chooses the fronts for a caller in `domain`, the best first. `turn` should differ from call to call:
/// it spreads the callers of one domain over the other domains.
#[must_use]
pub fn choose_fronts(
    candidates: &[FrontCandidate],
    domain: Option<&FailureDomain>,
    options: &FrontChoiceOptions,
    turn: usize,
) -> SmallVec<[SocketAddr; 8]> {
    let score = |candidate: &FrontCandidate| {
        let is_in_own_domain = domain == Some(&candidate.domain);
        candidate.relative_size
            + if is_in_own_domain {
                options.own_domain_bonus
            } else {
                0.0
            }
    };
    // If the whole group is starting, a starting front is better than none.
    let is_any_started = candidates.iter().any(|candidate| candidate.is_started);
    let named = candidates
        .iter()
        .filter(|candidate| candidate.is_started || !is_any_started);
    let mut scored: Vec<(f64, &FrontCandidate)> = named
        .map(|candidate| (score(candidate), candidate))
        .collect();
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
        .filter(|(rank, (score, _))| {
            *rank < options.min_fronts || *score >= best - options.score_margin
        })
        .map(|(_, (_, candidate))| *candidate)
        .collect();
    add_other_domains(&mut chosen, &scored, options.min_domains, turn);
    let addresses = chosen.iter().map(|candidate| candidate.address);
    addresses.take(options.max_fronts).collect()
}

/// Adds fronts of other failure domains until `domains` are named. Each added domain gets as many
/// fronts as the domains already named have on average.
fn add_other_domains<'a>(
    chosen: &mut SmallVec<[&'a FrontCandidate; 8]>,
    scored: &[(f64, &'a FrontCandidate)],
    domains: usize,
    turn: usize,
) {
    let named: BTreeSet<&FailureDomain> =
        chosen.iter().map(|candidate| &candidate.domain).collect();
    let per_domain = chosen.len().div_ceil(named.len().max(1));
    let all_domains: BTreeSet<&FailureDomain> = scored
        .iter()
        .map(|(_, candidate)| &candidate.domain)
        .collect();
    let mut other_domains: Vec<&FailureDomain> = all_domains.difference(&named).copied().collect();
    let missing = domains.saturating_sub(named.len()).min(other_domains.len());
    if missing == 0 {
        return;
    }
    let first = turn % other_domains.len();
    other_domains.rotate_left(first);
    for domain in &other_domains[..missing] {
        let of_domain = scored
            .iter()
            .filter(|(_, candidate)| candidate.domain == **domain);
        chosen.extend(of_domain.take(per_domain).map(|(_, candidate)| *candidate));
    }
}
