//! The members of a group at one moment.

use std::ops::Deref;
use std::sync::Arc;

use alderhaven_peer::peer_handle::PeerSnapshot;
use alderhaven_policy::membership::member_entry::MemberView;

/// A `MemberList` shares what is known of the group with all who read it: requests look through it,
/// and copying hundreds of members for each would cost more than what they look for.
#[derive(Clone, Debug, Default)]
pub struct MemberList(Option<Arc<PeerSnapshot>>);

impl MemberList {
    /// Returns the members of a snapshot; none where the process takes no part in a group.
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
