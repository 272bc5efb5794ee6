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
const CONTACT_REACHED: &str = "reached";
/// The body of the word of a node that does not.
const CONTACT_LOST: &str = "lost";

/// The most words about crashes that this node adds to; each has some hundred bytes, and all nodes
/// hold all of them.
const MOST_STRIKE_OBJECTS: usize = 256;

impl Catalog {
    /// Tells all nodes whether this one reaches the store.
    pub fn publish_contact(&self, node: &NodeId, is_reached: bool, wall_millis: u64) {
        let body = if is_reached {
            CONTACT_REACHED
        } else {
            CONTACT_LOST
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
            < MOST_STRIKE_OBJECTS;
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

    pub(super) fn apply_contact(&self, state: &mut CatalogState, object: &StoredObject) {
        let Ok(node) = object.key.name.parse::<NodeId>() else {
            return;
        };
        let contact = StoreContact {
            node: node.clone(),
            is_reached: object.body.as_deref() == Some(CONTACT_REACHED),
            heard_at: self.clock.now(),
        };
        state.contacts.insert(node, contact);
    }

    pub(super) fn apply_strikes(&self, object: &StoredObject) {
        let Some(body) = &object.body else {
            return;
        };
        if let Err(reason) = self.crashes.take(body, wall_clock::millis()) {
            FrontEvent::StrikesUnreadable {
                name: object.key.name.clone(),
                reason,
            }
            .emit(Level::Warn);
        }
    }
}
