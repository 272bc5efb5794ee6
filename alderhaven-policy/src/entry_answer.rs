//! Which entry addresses a caller is told to use.
//!
//! Load pattern: there is no balancer; callers ask for addresses, keep the answer for a while and
//! connect themselves. If all were told the same addresses, these would be overrun; if leaving ones
//! were named, callers would hit closed doors for as long as they keep the answer. An answer names
//! a few entries of the nearest failure domain, drawn by their spare capacity, and some of the next
//! domain to fall back to.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_core::time::TimeSpan;
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::membership::member_entry::MemberView;
use crate::membership::member_record::{LoadLevel, MemberRole, MemberState};

/// The weight of an idle entry.
const IDLE_WEIGHT: u32 = 1_000;

/// The smallest weight: a busy entry is still named, or its callers would all move at once.
const MIN_WEIGHT: u32 = 50;

/// An `AnswerOptions` holds the settings of answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct AnswerOptions {
    /// How long a caller may keep an answer; an entry that leaves serves on for that long.
    pub ttl: TimeSpan,
    /// The most entries of the nearest failure domain in an answer.
    #[serde(rename = "near")]
    pub max_in_own_domain: usize,
    /// The most entries of other failure domains in an answer.
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

/// An `EntryAnswer` is what a caller is told.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryAnswer {
    /// The entries, the nearest first.
    pub entries: SmallVec<[EntryAddress; 8]>,
    /// How long the caller may keep the answer.
    pub ttl: TimeSpan,
}

/// An `EntryAddress` is one entry of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The address to connect to.
    pub address: SocketAddr,
    /// The entry's failure domain.
    pub domain: FailureDomain,
    /// The entry's share of the caller's requests, against the others of the same domain.
    pub weight: u32,
}

impl EntryAnswer {
    /// Chooses entries for a caller; `order` lists the failure domains from the nearest to the
    /// farthest, a domain that it leaves out counts as farthest.
    ///
    /// Suspect entries are named only where no others are left. Leaving and dead ones never are.
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

/// Draws up to `count` entries, each with a chance by its weight, so that callers spread out.
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
