//! One open connection of a caller.

use std::sync::Arc;

use alderhaven_intake::connection_slot::ConnectionSlot;
use alderhaven_intake::lingering_stream::KeptSocket;

/// The place of a connection under the limit, and its socket once it ends.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    /// The place under the limit.
    pub slot: Arc<ConnectionSlot>,
    /// The socket, which is kept if a request was answered before all of it was read.
    pub socket: Arc<KeptSocket>,
}
