//! The words that nodes tell each other, beside what the store holds: whether they reach it, and which
//! requests crash targets.

use alderhaven_core::config_object::{ObjectKey, ObjectKind, StoredObject};
use alderhaven_core::fingerprint::RequestFingerprint;
use alderhaven_core::ids::{NodeId, StoreVersion};
use alderhaven_policy::store_watch_plan::StoreContact;
use log::Level;

use crate::catalog::Catalog;
use crate::catalog_state::CatalogState;
use crate::front_event::FrontEvent;
use crate::wall_clock;

/// The body of the word of a node that reaches the store.
const STORE_REACHED_BODY: &str = "reached";
/// The body of the word of a node that does not.
const STORE_LOST_BODY: &str = "lost";

/// The most words about crashes that this node adds to; each has some hundred bytes, and all nodes
/// hold all of them.
const MAX_STRIKE_OBJECTS: usize = 256;

impl Catalog {
    /// Tells all nodes whether this one reaches the store.
    pub fn publish_store_contact(&self, node: &NodeId, is_reached: bool, wall_millis: u64) {
        let body = if is_reached {
            STORE_REACHED_BODY
        } else {
            STORE_LOST_BODY
        };
        self.publish(
            ObjectKind::Contact,
            node.to_string(),
            body.to_owned(),
            wall_millis,
        );
    }

    /// Tells all nodes what this one knows of the crashes that a request was part of.
    pub fn publish_strikes(
        &self,
        fingerprint: &RequestFingerprint,
        body: String,
        wall_millis: u64,
    ) {
        let has_room = self
            .state()
            .objects
            .keys()
            .filter(|key| key.kind == ObjectKind::Strike)
            .count()
            < MAX_STRIKE_OBJECTS;
        if has_room {
            let name = format!("{fingerprint}-{}", self.options.node);
            self.publish(ObjectKind::Strike, name, body, wall_millis);
        }
    }

    /// Tells all nodes a word of this one, under a name that is its own.
    fn publish(&self, kind: ObjectKind, name: String, body: String, wall_millis: u64) {
        let key = ObjectKey { kind, name };
        let known = self.state().objects.get(&key).map(|known| known.version.0);
        // The time of day makes the word of a restarted process newer than its earlier ones; where
        // the clock has gone back, the next number is taken.
        let version = known.map_or(wall_millis, |known| wall_millis.max(known + 1));
        self.accept(vec![StoredObject {
            key,
            version: StoreVersion(version),
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
        if let Err(reason) = self.crashes.merge_remote(body, wall_clock::unix_millis()) {
            FrontEvent::StrikesUnreadable {
                name: object.key.name.clone(),
                reason,
            }
            .emit(Level::Warn);
        }
    }
}
