//! Index of the object versions that a node holds, with bucket hashes for comparison.

use std::collections::BTreeMap;
use std::ops::Bound;

use alderhaven_core::carry_state::CarryState;
use alderhaven_core::config_object::ObjectKey;
use alderhaven_core::store_version::StoreVersion;

use crate::exchange::exchange_message::ObjectStamp;
use crate::hashing;
use crate::membership::member_record::ConfigDigest;

/// Number of buckets that an index is divided into for comparison; each has one hash.
pub const INDEX_BUCKETS: usize = 64;

/// Newest version of each object, and the hashes of all versions.
#[derive(Clone, Debug)]
pub struct ObjectIndex {
    versions: BTreeMap<ObjectKey, StoreVersion>,
    buckets: [u64; INDEX_BUCKETS],
    digest: ConfigDigest,
}

impl Default for ObjectIndex {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
            buckets: [0; INDEX_BUCKETS],
            digest: ConfigDigest::default(),
        }
    }
}

impl ObjectIndex {
    /// Records a version; returns true if it is newer than the held one.
    pub fn insert(&mut self, key: &ObjectKey, version: StoreVersion) -> bool {
        let known = self.versions.get(key).copied();
        if known >= Some(version) {
            return false;
        }
        let key_hash = hash_key(key);
        let known_hash = known.map_or(0, |known| hash_version(key_hash, known));
        let hash_change = known_hash ^ hash_version(key_hash, version);
        self.buckets[bucket_of(key_hash)] ^= hash_change;
        self.digest.hash ^= hash_change;
        self.digest.highest = self.digest.highest.max(version.stored());
        self.digest
            .progress
            .replace(known.unwrap_or_default(), version);
        self.versions.insert(key.clone(), version);
        true
    }

    /// Returns the held version of an object.
    #[must_use]
    pub fn version(&self, key: &ObjectKey) -> Option<StoreVersion> {
        self.versions.get(key).copied()
    }

    /// Returns the digest of all versions.
    #[must_use]
    pub const fn digest(&self) -> ConfigDigest {
        self.digest
    }

    /// Returns the hash of each bucket.
    #[must_use]
    pub const fn buckets(&self) -> &[u64; INDEX_BUCKETS] {
        &self.buckets
    }

    /// Returns at most `count` versions after a key, from the buckets that differ from another
    /// index. The second value is the key to continue after, if there are more.
    #[must_use]
    pub fn differing_stamps(
        &self,
        buckets: &[u64],
        after: Option<&ObjectKey>,
        count: usize,
    ) -> (Vec<ObjectStamp>, Option<ObjectKey>) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut stamps: Vec<ObjectStamp> = Vec::new();
        for (key, version) in self
            .versions
            .range::<ObjectKey, _>((start, Bound::Unbounded))
        {
            let bucket = bucket_of(hash_key(key));
            if buckets.get(bucket) == Some(&self.buckets[bucket]) {
                continue;
            }
            if stamps.len() == count {
                let last = stamps.last().map(|stamp| stamp.key.clone());
                return (stamps, last);
            }
            stamps.push(ObjectStamp {
                key: key.clone(),
                version: *version,
            });
        }
        (stamps, None)
    }
}

fn hash_key(key: &ObjectKey) -> u64 {
    hashing::mix_hashes(
        hashing::hash_name(key.kind.as_str()),
        hashing::hash_name(&key.name),
    )
}

fn hash_version(key_hash: u64, version: StoreVersion) -> u64 {
    let hash = hashing::mix_hashes(key_hash, version.revision);
    if version.era.0 == 0 && version.carry == CarryState::Stored {
        return hash;
    }
    let hash = hashing::mix_hashes(hash, version.era.0);
    hashing::mix_hashes(hash, version.carry.as_number().into())
}

fn bucket_of(key_hash: u64) -> usize {
    usize::try_from(key_hash % INDEX_BUCKETS as u64).unwrap_or(0)
}
