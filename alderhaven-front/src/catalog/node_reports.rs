//! Objects that nodes publish to each other and that the store doesn't hold: store reachability
//! and crash strikes.

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::NodeId;
use alderhaven_core::store_version::StoreVersion;
use alderhaven_core::wall_clock;
use alderhaven_policy::crash_strike::StrikeUpdate;
use alderhaven_policy::store_watch_plan::StoreContact;
use log::Level;

use crate::catalog::Catalog;
use crate::catalog_state::CatalogState;
use crate::front_event::FrontEvent;

/// The body of a report from a node that reaches the store.
const STORE_REACHED_BODY: &str = "reached";
/// The body of a report from a node that doesn't reach the store.
const STORE_LOST_BODY: &str = "lost";

/// The number of strike objects in the catalog from which on this node publishes no more; every
/// node holds all of them in memory.
const MAX_STRIKE_OBJECTS: usize = 256;

impl Catalog {
    /// Publishes to all nodes whether this one reaches the store.
    pub fn publish_store_contact(&self, node: &NodeId, is_reached: bool, wall_millis: u64) {
        let body = if is_reached {
            STORE_REACHED_BODY
        } else {
            STORE_LOST_BODY
        };
        self.publish(
            ObjectKind::StoreContact,
            node.to_string(),
            body.to_owned(),
            wall_millis,
        );
    }

    /// Publishes to all nodes the crash strikes that this one has recorded for a request. Returns
    /// `false` if there are too many of them.
    pub fn publish_strikes(
        &self,
        fingerprint: &RequestFingerprint,
        body: String,
        wall_millis: u64,
    ) -> bool {
        let is_below_limit = self
            .state()
            .objects
            .keys()
            .filter(|key| key.kind == ObjectKind::CrashStrike)
            .count()
            < MAX_STRIKE_OBJECTS;
        if is_below_limit {
            let name = format!("{fingerprint}-{}", self.options.node);
            self.publish(ObjectKind::CrashStrike, name, body, wall_millis);
        }
        is_below_limit
    }

    /// Publishes an object under a name that is unique to this node.
    fn publish(&self, kind: ObjectKind, name: String, body: String, wall_millis: u64) {
        let key = ObjectKey { kind, name };
        let known = self
            .state()
            .objects
            .get(&key)
            .map(|known| known.version.revision);
        // Wall-clock versions make reports of a restarted process newer than its earlier ones. If
        // the clock was set back, the version is incremented instead.
        let version = known.map_or(wall_millis, |known| wall_millis.max(known + 1));
        self.accept(vec![StoredObject {
            key,
            version: StoreVersion::of_revision(version),
            write_id: String::new(),
            body: Some(body),
        }]);
    }

    pub(super) fn apply_store_contact(&self, state: &mut CatalogState, object: &StoredObject) {
        let Ok(node) = object.key.name.parse::<NodeId>() else {
            return;
        };
        let contact = StoreContact {
            node: node.clone(),
            is_reached: object.body.as_deref() == Some(STORE_REACHED_BODY),
            reported_at: self.clock.now(),
        };
        state.store_contacts.insert(node, contact);
    }

    pub(super) fn apply_strikes(&self, object: &StoredObject) {
        let Some(body) = &object.body else {
            return;
        };
        let name = object.key.name.clone();
        match self.crashes.merge_remote(body, wall_clock::unix_millis()) {
            Ok(updates) => emit_learned_strikes(name, &updates),
            Err(reason) => FrontEvent::StrikesUnreadable { name, reason }.emit(Level::Warn),
        }
    }
}

fn emit_learned_strikes(name: String, updates: &[StrikeUpdate]) {
    let Some(latest) = updates.iter().min_by_key(|update| update.age) else {
        return;
    };
    FrontEvent::StrikesLearned {
        name,
        fingerprint: latest.fingerprint.to_string(),
        strikes: updates.len(),
        age: latest.age,
    }
    .emit(Level::Info);
}
