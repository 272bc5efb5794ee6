//! Snapshot of the members of a group.

use std::ops::Deref;
use std::sync::Arc;

use alderhaven_peer::peer_handle::PeerSnapshot;
use alderhaven_policy::membership::member_entry::MemberView;

/// Shared, read-only list of members. Cloning it does not copy the members, so each request can
/// hold one.
#[derive(Clone, Debug, Default)]
pub struct MemberList(Option<Arc<PeerSnapshot>>);

impl MemberList {
    /// Creates the list from a snapshot; it is empty if the process is not part of a group.
    pub(crate) const fn new(snapshot: Option<Arc<PeerSnapshot>>) -> Self {
        Self(snapshot)
    }
}

impl Deref for MemberList {
    type Target = [MemberView];

    fn deref(&self) -> &Self::Target {
        self.0
            .as_ref()
            .map_or(&[], |snapshot| snapshot.members.as_slice())
    }
}
