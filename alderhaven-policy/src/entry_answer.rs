//! Chooses the entry addresses that a caller is told to use.
//!
//! Callers cache the answer and connect on their own, without a load balancer. An answer names a
//! few entries of the nearest failure domain, drawn at random by their spare capacity, and some
//! entries of other domains as a fallback. Leaving entries are left out.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::membership::member_entry::MemberView;
use crate::membership::member_record::{LoadLevel, MemberRole, MemberState};

/// Weight of an entry without load.
const IDLE_WEIGHT: u32 = 1_000;

/// Smallest weight; a fully loaded entry keeps some callers, since all of them would otherwise move
/// at once.
const MIN_WEIGHT: u32 = 50;

/// Settings of the answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerOptions {
    /// Time for which a caller may cache an answer; a leaving entry keeps serving for as long.
    pub ttl: TimeSpan,
    /// Largest number of entries of the nearest failure domain in one answer.
    #[serde(rename = "near")]
    pub max_in_own_domain: usize,
    /// Largest number of entries of other failure domains in one answer.
    #[serde(rename = "far")]
    pub max_in_other_domains: usize,
}

impl Default for AnswerOptions {
    fn default() -> Self {
        Self {
            ttl: TimeSpan::from_secs(10),
            max_in_own_domain: 4,
            max_in_other_domains: 2,
        }
    }
}

/// The entries that a caller may connect to.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// Entries to try, the nearest failure domain first.
    pub entries: SmallVec<[EntryAddress; 8]>,
    /// Time for which the caller may cache the answer.
    pub ttl: TimeSpan,
}

/// One entry of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Failure domain that the entry runs in.
    pub domain: FailureDomain,
    /// Relative share of the caller's requests among the entries of the same domain.
    pub weight: u32,
}

impl EntryAnswer {
    /// Chooses entries for a caller; `domains_by_distance` lists failure domains from the nearest
    /// on.
    ///
    /// Domains that are missing in the list count as the farthest. Suspect entries are chosen only
    /// if no entry is alive. Leaving and dead entries are never chosen.
    #[must_use]
    pub fn choose(
        members: &[MemberView],
        domains_by_distance: &[FailureDomain],
        options: &AnswerOptions,
        rng: &mut impl Rng,
    ) -> Self {
        let mut entries = entries_in_state(members, MemberState::Alive);
        if entries.is_empty() {
            entries = entries_in_state(members, MemberState::Suspect);
        }
        let distance = |entry: &EntryAddress| {
            let position = domains_by_distance
                .iter()
                .position(|domain| *domain == entry.domain);
            position.unwrap_or(domains_by_distance.len())
        };
        let nearest = entries.iter().map(distance).min();
        let (nearest_entries, other_entries): (Vec<_>, Vec<_>) = entries
            .into_iter()
            .partition(|entry| Some(distance(entry)) == nearest);
        let mut chosen = draw(nearest_entries, options.max_in_own_domain, rng);
        let mut fallbacks = draw(other_entries, options.max_in_other_domains, rng);
        fallbacks.sort_by_key(distance);
        chosen.extend(fallbacks);
        Self {
            entries: chosen,
            ttl: options.ttl,
        }
    }
}

fn entries_in_state(members: &[MemberView], state: MemberState) -> Vec<EntryAddress> {
    let is_match =
        |member: &&MemberView| member.record.role == MemberRole::Entry && member.state == state;
    members
        .iter()
        .filter(is_match)
        .filter_map(|member| {
            Some(EntryAddress {
                address: member.record.caller_address?,
                domain: member.record.domain.clone(),
                weight: load_weight(member.load),
            })
        })
        .collect()
}

fn load_weight(load: LoadLevel) -> u32 {
    IDLE_WEIGHT.saturating_sub(load.0).max(MIN_WEIGHT)
}

/// Draws up to `count` entries without replacement, weighted by their spare capacity.
fn draw(
    mut entries: Vec<EntryAddress>,
    count: usize,
    rng: &mut impl Rng,
) -> SmallVec<[EntryAddress; 8]> {
    let mut drawn = SmallVec::new();
    while drawn.len() < count && !entries.is_empty() {
        let total: u32 = entries.iter().map(|entry| entry.weight).sum();
        let mut point = rng.random_range(0..total);
        let index = entries.iter().position(|entry| {
            let is_hit = point < entry.weight;
            point = point.saturating_sub(entry.weight);
            is_hit
        });
        drawn.push(entries.swap_remove(index.unwrap_or_default()));
    }
    drawn
}
