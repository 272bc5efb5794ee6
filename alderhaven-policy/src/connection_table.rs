//! Decides which connections of an address stay open when there are as many as allowed.
//!
//! A new connection replaces the one that has waited the longest for its peer: for a request, for the rest of
//! one, or for an answer to be taken. Connections whose request runs stay.

use std::collections::{BTreeSet, HashMap};

use alderhaven_core::time::TimePoint;

/// Identifies a connection within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionDecision {
    /// It is admitted.
    Admitted(ConnectionId),
    /// It is admitted, and another one must be closed.
    Replaces {
        /// The new connection.
        admitted: ConnectionId,
        /// The one to close.
        closed: ConnectionId,
    },
    /// It must be closed: the requests of all others run.
    Refused,
}

/// The open connections of one address.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    next_id: u64,
    /// Since when each connection waits for its peer; `None` while its request runs.
    connections: HashMap<ConnectionId, Option<TimePoint>>,
    waiting: BTreeSet<(TimePoint, ConnectionId)>,
}

impl ConnectionTable {
    /// Creates a table of at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            next_id: 0,
            connections: HashMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    /// Gets the number of open connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if no connection is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Decides on a new connection, which waits for its peer.
    pub fn admit(&mut self, now: TimePoint) -> ConnectionDecision {
        let closed = if self.connections.len() < self.limit {
            None
        } else {
            let Some((_, oldest)) = self.waiting.first().copied() else {
                return ConnectionDecision::Refused;
            };
            self.remove(oldest);
            Some(oldest)
        };
        let admitted = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(admitted, Some(now));
        self.waiting.insert((now, admitted));
        match closed {
            Some(closed) => ConnectionDecision::Replaces { admitted, closed },
            None => ConnectionDecision::Admitted(admitted),
        }
    }

    /// Records that a request of the connection runs.
    pub fn begin_run(&mut self, id: ConnectionId) {
        self.set_waiting(id, None);
    }

    /// Records that the connection waits for its peer again.
    pub fn end_run(&mut self, id: ConnectionId, now: TimePoint) {
        self.set_waiting(id, Some(now));
    }

    /// Removes a connection that is closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.set_waiting(id, None);
        self.connections.remove(&id);
    }

    fn set_waiting(&mut self, id: ConnectionId, since: Option<TimePoint>) {
        let Some(known) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(before) = std::mem::replace(known, since) {
            self.waiting.remove(&(before, id));
        }
        if let Some(since) = since {
            self.waiting.insert((since, id));
        }
    }
}
