//! Answers callers which entries to use, by failure domain and weight.

use std::net::SocketAddr;

use alderhaven_core::ids::FailureDomain;
use alderhaven_node::node_group::NodeGroup;
use alderhaven_policy::entry_answer::{AnswerOptions, EntryAddress, EntryAnswer};
use serde::Serialize;

use crate::answer::{ErrorAnswer, ErrorCode};

/// Weight of this entry if no other member of the group is known.
const SOLE_ENTRY_WEIGHT: u32 = 1_000;

/// Chooses the entries to return to a caller.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    /// Number of entries to return and lifetime of the answer.
    pub options: AnswerOptions,
    /// Failure domain of this entry, used if the caller names none.
    pub domain: FailureDomain,
    /// Address of this entry, returned if the group has no known member.
    pub address: SocketAddr,
}

/// Body of the reply to `GET /v1/entries`.
#[derive(Clone, Debug, Serialize)]
pub struct DirectoryAnswer {
    /// The entries, those in the nearest failure domain first.
    pub entries: Vec<EntryAddress>,
    /// How long the caller may cache the answer, in milliseconds.
    pub ttl_ms: u64,
}

impl EntryDirectory {
    /// Chooses entries for a caller. `query` is the query string of its request.
    ///
    /// # Errors
    /// `BadRequest` if the query string is not empty and not `domain=NAME`.
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
