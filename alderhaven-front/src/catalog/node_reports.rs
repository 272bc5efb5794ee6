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

/// The number of strike objects in the catalog from which on nodes withdraw old ones; every node
/// holds all of them in memory.
const MAX_STRIKE_OBJECTS: usize = 256;
/// The strike objects that each node may keep published whatever the others do.
const MIN_OWN_STRIKE_OBJECTS: usize = 8;

impl Catalog {
    /// Publishes to all nodes whether this one reaches the store.
    pub fn publish_store_contact(&self, node: &NodeId, is_reached: bool, wall_millis: u64) {
        let body = if is_reached {
            STORE_REACHED_BODY
        } else {
            STORE_LOST_BODY
        };
        let key = ObjectKey {
            kind: ObjectKind::StoreContact,
            name: node.to_string(),
        };
        self.publish(key, Some(body.to_owned()), wall_millis);
    }

    /// Publishes to all nodes the crash strikes that this one knows of a request.
    pub fn publish_strikes(
        &self,
        fingerprint: &RequestFingerprint,
        body: String,
        wall_millis: u64,
    ) {
        let name = format!("{fingerprint}-{}", self.options.node);
        let key = ObjectKey {
            kind: ObjectKind::CrashStrike,
            name,
        };
        let is_published = |object: &StoredObject| object.body.is_some();
        let was_published = self.state().objects.get(&key).is_some_and(is_published);
        if !was_published {
            self.make_room_for_strikes(wall_millis);
        }
        self.publish(key, Some(body), wall_millis);
    }

    /// Withdraws the oldest strike object of this node if all nodes have published too many. Each node
    /// keeps a few in any case.
    fn make_room_for_strikes(&self, wall_millis: u64) {
        let node = self.options.node.as_str();
        let (total, own) = {
            let state = self.state();
            let published = state.objects.values().filter(|object| {
                object.key.kind == ObjectKind::CrashStrike && object.body.is_some()
            });
            let published: Vec<(u64, ObjectKey)> = published
                .map(|object| (object.version.revision, object.key.clone()))
                .collect();
            let total = published.len();
            let own = published
                .into_iter()
                .filter(|(_, key)| publisher_of_strikes(&key.name) == Some(node));
            (total, own.collect::<Vec<_>>())
        };
        if total < MAX_STRIKE_OBJECTS || own.len() < MIN_OWN_STRIKE_OBJECTS {
            return;
        }
        let oldest = own.into_iter().min_by_key(|(revision, _)| *revision);
        if let Some((_, oldest)) = oldest {
            self.publish(oldest, None, wall_millis);
        }
    }

    /// Publishes an object under a name that is unique to this node; without a body, its removal.
    fn publish(&self, key: ObjectKey, body: Option<String>, wall_millis: u64) {
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
            body,
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

/// Returns the node in the name of a strike object. Fingerprints have no hyphen; names of nodes may.
fn publisher_of_strikes(name: &str) -> Option<&str> {
    let (_fingerprint, node) = name.split_once('-')?;
    Some(node)
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
