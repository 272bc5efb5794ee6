//! Object table against a reference model.

use std::collections::BTreeMap;

use alderhaven_core::config_object::{ObjectKey, ObjectKind};
use alderhaven_core::store_version::StoreVersion;
use alderhaven_standin::object_table::ObjectTable;
use alderhaven_store::object_store::{ConditionalWrite, WatchOutcome, WriteOutcome};
use proptest::prelude::{ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

/// Object number, whether the write expects the current version, and the body.
type DrawnWrite = (u8, bool, Option<u8>);

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn writes() -> impl Strategy<Value = Vec<DrawnWrite>> {
    proptest::collection::vec((0_u8..4, any::<bool>(), any::<Option<u8>>()), 0..40)
}

fn key(number: u8) -> ObjectKey {
    ObjectKey {
        kind: if number.is_multiple_of(2) {
            ObjectKind::Team
        } else {
            ObjectKind::Template
        },
        name: format!("object-{number}"),
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn table_agrees_with_oracle(writes in writes(), after in 0_u64..40) {
        let mut table = ObjectTable::new(1_000);
        let mut oracle: BTreeMap<ObjectKey, (u64, Option<String>)> = BTreeMap::new();
        let mut revision = 0;
        for (number, is_expected, body) in writes {
            let key = key(number);
            let body = body.map(|body| body.to_string());
            let current = oracle.get(&key).map_or(0, |(version, _)| *version);
            let expected = if is_expected { current } else { current + 1 };
            let outcome = table.write(ConditionalWrite {
                key: key.clone(),
                expected: StoreVersion::of_revision(expected),
                write_id: "test".to_owned(),
                body: body.clone(),
            });
            if is_expected {
                revision += 1;
                oracle.insert(key, (revision, body));
                prop_assert_eq!(outcome, WriteOutcome::Written(StoreVersion::of_revision(revision)));
            } else {
                prop_assert!(matches!(outcome, WriteOutcome::Conflict(_)));
            }
        }
        let listed = table.list(&[ObjectKind::Team]).objects;
        let live = oracle
            .iter()
            .filter(|(key, (_, body))| key.kind == ObjectKind::Team && body.is_some());
        prop_assert_eq!(listed.len(), live.count());
        match table.changes(&[ObjectKind::Team, ObjectKind::Template], StoreVersion::of_revision(after)) {
            WatchOutcome::Compacted => prop_assert!(after > revision),
            WatchOutcome::Changes(list) => {
                let versions: Vec<u64> = list.objects.iter().map(|object| object.version.revision).collect();
                let mut newer: Vec<u64> =
                    oracle.values().map(|(version, _)| *version).filter(|version| *version > after).collect();
                newer.sort_unstable();
                prop_assert_eq!(versions, newer);
            }
        }
    }
}

#[test]
fn changes_beyond_history() {
    let mut table = ObjectTable::new(2);
    for expected in 0..4 {
        table.write(ConditionalWrite {
            key: key(0),
            expected: StoreVersion::of_revision(expected),
            write_id: "test".to_owned(),
            body: Some("{}".to_owned()),
        });
    }
    let kinds = [ObjectKind::Team];
    assert_eq!(
        table.changes(&kinds, StoreVersion::of_revision(1)),
        WatchOutcome::Compacted
    );
    assert!(matches!(
        table.changes(&kinds, StoreVersion::of_revision(2)),
        WatchOutcome::Changes(list) if list.objects.len() == 1
    ));
}

#[test]
fn write_over_tombstone() {
    let mut table = ObjectTable::default();
    let write = |expected, body: Option<&str>| ConditionalWrite {
        key: key(0),
        expected: StoreVersion::of_revision(expected),
        write_id: "test".to_owned(),
        body: body.map(str::to_owned),
    };
    table.write(write(0, Some("{}")));
    table.write(write(1, None));
    assert!(table.list(&[ObjectKind::Team]).objects.is_empty());
    let outcome = table.write(write(0, Some("{}")));
    assert_eq!(outcome, WriteOutcome::Written(StoreVersion::of_revision(3)));
}
