//! A number of callers that hold the same request open, and come back when they are closed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::task::JoinSet;

use crate::held_request::{HeldEnd, HeldRequest};

/// A standing crowd. Dropping it closes its connections.
pub struct Crowd {
    _members: JoinSet<()>,
    ends: Arc<Mutex<Vec<HeldEnd>>>,
}

impl Crowd {
    /// Sends `count` callers with one request to an address.
    ///
    /// # Panics
    /// In a task of a caller, if another one panicked.
    #[must_use]
    pub fn start(address: SocketAddr, count: usize, request: &HeldRequest) -> Self {
        let ends = Arc::new(Mutex::new(Vec::new()));
        let mut members = JoinSet::new();
        for _ in 0..count {
            let (request, ends) = (request.clone(), Arc::clone(&ends));
            members.spawn(async move {
                let record = |end| ends.lock().expect("no caller panics").push(end);
                request.hold_forever(address, record).await;
            });
        }
        Self {
            _members: members,
            ends,
        }
    }

    /// Returns how the connections have ended that are closed.
    ///
    /// # Panics
    /// If a task of a caller panicked.
    #[must_use]
    pub fn ends(&self) -> Vec<HeldEnd> {
        self.ends.lock().expect("no caller panics").clone()
    }
}
