//! Reply of one shard.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::attempt::TargetReply;
use crate::front_answer::ForwardedReply;

/// Records of one shard in an answer, alone or within a merged block.
#[derive(Debug)]
pub enum ShardReply {
    /// Reply of a target, or only its records if it came through another front.
    Single(TargetReply),
    /// The records of the shard are part of a block that another front has merged.
    Merged {
        /// Index of the block within the query.
        block_index: usize,
        /// Proof header of the reply of the target.
        proof: HeaderValue,
    },
}

impl ShardReply {
    /// Wraps the records of a single shard that came through another front.
    #[must_use]
    pub fn from_records(records: Bytes, proof: HeaderValue) -> Self {
        Self::Single(TargetReply {
            reply: ForwardedReply {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: records.into(),
            },
            proof: Some(proof),
        })
    }

    /// Returns the proof header of the reply, if the target sent one.
    #[must_use]
    pub const fn proof(&self) -> Option<&HeaderValue> {
        match self {
            Self::Single(reply) => reply.proof.as_ref(),
            Self::Merged { proof, .. } => Some(proof),
        }
    }
}
