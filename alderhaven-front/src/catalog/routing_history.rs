//! Which versions of the configuration are known: a valid one may precede one that is rejected.

use alderhaven_core::config_object::ObjectKind;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_store::object_store::ObjectList;

use crate::catalog::Catalog;

impl Catalog {
    /// Gets the store's version up to which the configuration in force is known to be the last valid
    /// one.
    #[must_use]
    pub fn routing_version(&self) -> Option<StoreVersion> {
        self.state().routing_version
    }

    /// Gets the version of the configuration object, removed or invalid ones included. A store keeps
    /// one such object.
    #[must_use]
    pub fn routing_object_version(&self) -> Option<StoreVersion> {
        let state = self.state();
        let objects = state.objects.values();
        let routing = objects.filter(|object| object.key.kind == ObjectKind::Routing);
        routing.map(|object| object.version).max()
    }

    /// Applies all changes of the configuration since [`Self::routing_version`], also those that
    /// precede a known one that was rejected or removed. Newer ones are merged as from a watch.
    pub fn accept_routing_history(&self, changes: ObjectList) {
        let is_changed = {
            let mut state = self.state();
            let mut is_changed = false;
            for change in &changes.objects {
                let known = state.objects.get(&change.key);
                if known.is_some_and(|known| known.version > change.version) {
                    is_changed |= self.apply_routing(&mut state, change);
                }
            }
            if is_changed {
                self.rebuild_view(&mut state);
            }
            is_changed
        };
        if is_changed {
            self.changed.send_modify(|count| *count += 1);
        }
        // A change that is older than the known one was applied above.
        let _newer_versions = self.accept(changes.objects);
    }
}
