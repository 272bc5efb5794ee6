//! Divides the memory and descriptors of a process among what others make it hold.

use std::ops::RangeInclusive;

use alderhaven_core::quantities::ByteSize;

/// The memory with which a process can serve, in megabytes, up to what a setting may state.
pub const MEMORY_MB_RANGE: RangeInclusive<usize> = 16..=1 << 20;
/// The number of descriptors with which a process can serve, up to what a setting may state.
pub const DESCRIPTOR_RANGE: RangeInclusive<usize> = 256..=1 << 20;
/// The descriptors that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;
/// The most memory of a caller's connection: buffers of the kernel and of the process.
const CONNECTION_BYTES: usize = 64 << 10;
/// The least frames budget: one frame of the largest size and the rest of another.
const MIN_FRAME_BYTES: usize = 12 << 20;
/// The most connections of each address for probes and metrics.
const SERVICE_CONNECTIONS: usize = 64;
/// The least number of connections of an address.
const MIN_CONNECTIONS: usize = 16;

/// What a process may use of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostResources {
    /// The memory, in megabytes.
    pub memory_mb: usize,
    /// The descriptors that may be open.
    pub descriptors: usize,
}

/// The limits that follow from the resources of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostBudget {
    /// The bytes of request bodies, in whole or in part.
    pub requests: ByteSize,
    /// The bytes of replies, until their receivers have taken them.
    pub replies: ByteSize,
    /// The bytes of incomplete frames of other nodes.
    pub frames: ByteSize,
    /// The connections of callers.
    pub caller_connections: usize,
    /// The connections for directory queries.
    pub directory_connections: usize,
    /// The connections of each address for probes and metrics.
    pub service_connections: usize,
    /// The connections of other nodes, for each address.
    pub peer_connections: usize,
}

impl Default for HostResources {
    /// The resources that are assumed where settings state none.
    fn default() -> Self {
        Self {
            memory_mb: 260,
            descriptors: 4_100,
        }
    }
}

impl HostResources {
    /// Divides the resources. What is left is for targets, the store, other nodes, logs and the process
    /// itself.
    #[must_use]
    pub fn budget(self) -> HostBudget {
        let memory = self.memory_mb * 1_000_000;
        let sockets = self.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let callers = (sockets * 3 / 8).min(memory / 3 / CONNECTION_BYTES);
        HostBudget {
            requests: ByteSize::from_bytes(memory / 5),
            replies: ByteSize::from_bytes(memory / 5),
            frames: ByteSize::from_bytes((memory / 8).max(MIN_FRAME_BYTES)),
            caller_connections: callers.max(MIN_CONNECTIONS),
            directory_connections: (sockets / 10).max(MIN_CONNECTIONS),
            service_connections: (sockets / 32).clamp(MIN_CONNECTIONS, SERVICE_CONNECTIONS),
            peer_connections: (sockets / 16).max(MIN_CONNECTIONS),
        }
    }
}
