//! The answer of one shard.

use http::HeaderValue;

use crate::attempt::TargetReply;

/// A `ShardPart` is what stands for a shard in an answer.
#[derive(Debug)]
pub enum ShardPart {
    /// A target's own reply.
    Own(TargetReply),
    /// The shard's records are among those of a block, which another front has merged.
    Merged {
        /// The place of the block in the query.
        block: usize,
        /// The proof of the target's reply.
        proof: HeaderValue,
    },
}

impl ShardPart {
    /// Gets the proof of the target's reply.
    #[must_use]
    pub const fn proof(&self) -> Option<&HeaderValue> {
        match self {
            Self::Own(reply) => reply.proof.as_ref(),
            Self::Merged { proof, .. } => Some(proof),
        }
    }
}
