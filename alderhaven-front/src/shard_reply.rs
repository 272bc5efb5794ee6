//! The answer of one shard.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode};

use crate::attempt::TargetReply;
use crate::front_answer::ForwardedReply;

/// A `ShardPart` is what stands for a shard in an answer.
#[derive(Debug)]
pub enum ShardReply {
    /// A target's own reply, or its records alone.
    Single(TargetReply),
    /// The shard's records are among those of a block, which another front has merged.
    Merged {
        /// The place of the block in the query.
        block_index: usize,
        /// The proof of the target's reply.
        proof: HeaderValue,
    },
}

impl ShardReply {
    /// Returns the answer of one shard that came through another front.
    #[must_use]
    pub fn from_records(records: Bytes, proof: HeaderValue) -> Self {
        Self::Single(TargetReply {
            reply: ForwardedReply {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: records,
            },
            proof: Some(proof),
        })
    }

    /// Gets the proof of the target's reply.
    #[must_use]
    pub const fn proof(&self) -> Option<&HeaderValue> {
        match self {
            Self::Single(reply) => reply.proof.as_ref(),
            Self::Merged { proof, .. } => Some(proof),
        }
    }
}
