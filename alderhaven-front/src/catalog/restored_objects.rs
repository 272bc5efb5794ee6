//! Objects that stay in force although the store came back from an older copy without them.

use alderhaven_core::config_object::{ObjectKind, StoredObject};
use alderhaven_policy::restored_store;
use log::Level;

use crate::catalog;
use crate::catalog::Catalog;
use crate::catalog_state::CatalogState;
use crate::front_event::FrontEvent;
use crate::target_handle::TargetStatus;

impl Catalog {
    /// Returns true if objects of a kind are in force that the store lost and that were not written
    /// again.
    #[must_use]
    pub fn has_carried_objects(&self, kind: ObjectKind) -> bool {
        let state = self.state();
        let mut objects = state.objects.values();
        objects.any(|object| {
            object.key.kind == kind && object.body.is_some() && object.version.is_carried()
        })
    }

    /// Returns the known object as carried over, if the store's content of it is older.
    pub(super) fn carry_over(
        &self,
        state: &CatalogState,
        stored: &StoredObject,
    ) -> Option<StoredObject> {
        let known = state.objects.get(&stored.key)?;
        let precedes = || self.precedes(state, stored, known);
        let carried = restored_store::carry_over(known, stored, precedes)?;
        FrontEvent::ObjectCarried {
            key: carried.key.to_string(),
            era: carried.version.era,
            known: known.version,
            stored: stored.version,
        }
        .emit(Level::Warn);
        Some(carried)
    }

    /// Returns true if the content of `stored` is older than that of `known` in the order of their
    /// writer.
    fn precedes(&self, state: &CatalogState, stored: &StoredObject, known: &StoredObject) -> bool {
        match stored.key.kind {
            ObjectKind::Routing => self.config_version(stored) < self.config_version(known),
            ObjectKind::Target => self.is_before_leaving(state, stored),
            // The existence of an evacuation is its content, and nodes alone order their reports.
            _ => false,
        }
    }

    /// Gets the version of a configuration; `None` if it is removed or unreadable.
    fn config_version(&self, object: &StoredObject) -> Option<u64> {
        let body = object.body.as_ref()?;
        let routing = self.dialect.read_routing(body).ok()?;
        Some(routing.version)
    }

    /// Returns true if a registration is of a target process that later announced that it leaves,
    /// which is final.
    fn is_before_leaving(&self, state: &CatalogState, stored: &StoredObject) -> bool {
        let id = &stored.key.name;
        let Some(body) = &stored.body else {
            return false;
        };
        let Ok(entry) = self.dialect.read_target(id, body) else {
            return false;
        };
        let current = state.targets.get(id);
        let leaving = current.filter(|target| target.status() == TargetStatus::Leaving);
        let left = state.left_targets.get(id).map(|(entry, _)| entry.clone());
        let known = leaving.map(|target| target.entry()).or(left);
        !entry.is_leaving && known.is_some_and(|known| catalog::is_same_process(&known, &entry))
    }

    /// Settles objects of a peer that the store has lost, if this node has listed the store since and
    /// the peer has not: such a list was without them.
    pub(super) fn settle_lost_objects(&self, objects: &mut [StoredObject]) {
        let state = self.state();
        let unknown = objects
            .iter_mut()
            .filter(|object| object.body.is_some() && !state.objects.contains_key(&object.key));
        for object in unknown {
            let listed = state.listed_kinds.get(&object.key.kind);
            if let Some(listed) = listed.filter(|listed| object.version.era < listed.era)
                && let Some(settled) = catalog::settle_missing(object, *listed, false)
            {
                *object = settled;
            }
        }
    }
}
