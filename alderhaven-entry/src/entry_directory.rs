//! What callers are told when they ask which entries to use.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::entry_answer::{AnswerOptions, EntryAddress, EntryAnswer};
use serde::Serialize;

use crate::answer::{ErrorAnswer, ErrorCode};

/// The weight of an entry that knows of no other.
const SOLE_ENTRY_WEIGHT: u32 = 1_000;

/// An `EntryDirectory` answers which entries to use.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    /// The settings of the answers.
    pub options: AnswerOptions,
    /// The failure domain of this entry.
    pub domain: FailureDomain,
    /// The address of this entry, which is named where no group is known.
    pub address: SocketAddr,
}

/// A `DirectoryAnswer` is the body of `GET /v1/entries`.
#[derive(Clone, Debug, Serialize)]
pub struct DirectoryAnswer {
    /// The entries, the nearest first.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may keep the answer, in milliseconds.
    pub ttl_ms: u64,
}

impl EntryDirectory {
    /// Answers a caller; `query` is the query part of its request.
    ///
    /// # Errors
    /// `BadRequest` for a query part other than `domain=NAME`.
    pub fn answer(
        &self,
        group: &NodeGroup,
        query: Option<&str>,
    ) -> Result<DirectoryAnswer, ErrorAnswer> {
        let domain = self.parse_domain(query)?;
        let members = group.members();
        let ttl_ms = self.options.ttl.as_millis();
        if members.is_empty() {
            return Ok(DirectoryAnswer {
                entries: vec![self.own_address()],
                ttl_ms,
            });
        }
        let answer = EntryAnswer::choose(&members, &[domain], &self.options, &mut rand::rng());
        Ok(DirectoryAnswer {
            entries: answer.entries.into_vec(),
            ttl_ms,
        })
    }

    fn own_address(&self) -> EntryAddress {
        EntryAddress {
            address: self.address,
            domain: self.domain.clone(),
            weight: SOLE_ENTRY_WEIGHT,
        }
    }

    fn parse_domain(&self, query: Option<&str>) -> Result<FailureDomain, ErrorAnswer> {
        let Some(query) = query.filter(|query| !query.is_empty()) else {
            return Ok(self.domain.clone());
        };
        let refused = |message: String| ErrorAnswer::not_run(ErrorCode::BadRequest, message);
        let name = query
            .strip_prefix("domain=")
            .ok_or_else(|| refused(format!("`{query}` is refused: allowed is domain=NAME")))?;
        name.parse()
            .map_err(|error: alderhaven_core::errors::Error| refused(error.to_string()))
    }
}
