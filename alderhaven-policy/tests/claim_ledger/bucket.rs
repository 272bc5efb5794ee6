//! Tests of claim buckets and idempotency keys.

use alderhaven_policy::claim_bucket::{BucketVerdict, ClaimBucket, ClaimWriter, MAX_BUCKET_CLAIMS};
use alderhaven_policy::claim_id::ClaimId;
use alderhaven_policy::claim_key::ClaimKey;
use alderhaven_policy::claim_slot::{KEY_SKEW, KEY_WINDOW, KeyAge, SLICE_MILLIS, SLOT_COUNT};

use crate::ledger_simulation::{fingerprint, sample_key};

const MAX_BUCKET_BYTES: usize = 1 << 19;

fn writer(origin: u64) -> ClaimWriter {
    ClaimWriter {
        node: "entry-1".parse().unwrap(),
        address: ([255, 255, 255, 255], 65_535).into(),
        origin,
    }
}

#[test]
fn key_parse_accepts_only_version_7() {
    let key = sample_key(1);
    assert_eq!(key.to_string().parse::<ClaimKey>().unwrap(), key);
    assert_eq!(key.millis(), SLICE_MILLIS * SLOT_COUNT * 9 + 1);
    let v4 = "c2a0c1a8-6a3c-4f0e-9d55-0b8a4d2f3e11";
    assert!(v4.parse::<ClaimKey>().is_err());
    assert!("018f".parse::<ClaimKey>().is_err());
}

#[test]
fn key_age_window_and_skew() {
    let now = SLICE_MILLIS * SLOT_COUNT * 9;
    let at = |millis: u64| KeyAge::of(&ClaimKey::new(millis, [0; 10]), now);
    assert_eq!(at(now), KeyAge::Served);
    assert_eq!(at(now + KEY_SKEW.as_millis()), KeyAge::Served);
    assert_eq!(at(now + KEY_SKEW.as_millis() + 1), KeyAge::TooNew);
    assert_eq!(at(now - KEY_WINDOW.as_millis()), KeyAge::Served);
    assert_eq!(at(now - KEY_WINDOW.as_millis() - 1), KeyAge::TooOld);
    let ring = SLICE_MILLIS * (SLOT_COUNT - 1);
    assert!((KEY_WINDOW + KEY_SKEW).as_millis() < ring);
}

#[test]
fn claim_reused_bucket_refuses_older_keys() {
    let mut bucket = ClaimBucket::default();
    let (old, new) = (sample_key(0), sample_key(2));
    let writer = writer(1);
    assert_eq!(
        bucket.claim(old, fingerprint(false), &writer, 1),
        BucketVerdict::Free
    );
    assert_eq!(
        bucket.claim(new, fingerprint(false), &writer, 2),
        BucketVerdict::Free
    );
    assert_eq!(bucket.len(), 1);
    assert_eq!(
        bucket.claim(old, fingerprint(false), &writer, 3),
        BucketVerdict::TooOld
    );
}

#[test]
fn release_leaves_the_claim_of_another() {
    let mut bucket = ClaimBucket::default();
    let key = sample_key(0);
    let _free = bucket.claim(key, fingerprint(false), &writer(2), 7);
    bucket.release(
        &key,
        ClaimId {
            origin: 1,
            sequence: 7,
        },
    );
    bucket.release(
        &key,
        ClaimId {
            origin: 2,
            sequence: 6,
        },
    );
    assert_eq!(bucket.len(), 1);
    bucket.release(
        &key,
        ClaimId {
            origin: 2,
            sequence: 7,
        },
    );
    assert!(bucket.is_empty());
}

#[test]
fn encode_full_bucket_is_bounded_and_reads_back() {
    let mut bucket = ClaimBucket::default();
    let millis = sample_key(0).millis();
    for number in 0..=MAX_BUCKET_CLAIMS {
        let mut random = [0xff; 10];
        random[2..10].copy_from_slice(&(number as u64).to_be_bytes());
        let key = ClaimKey::new(millis, random);
        let writer = writer(u64::MAX - number as u64 % 300);
        let verdict = bucket.claim(key, fingerprint(true), &writer, u64::MAX);
        let is_last = number == MAX_BUCKET_CLAIMS;
        let expected = if is_last {
            BucketVerdict::Full
        } else {
            BucketVerdict::Free
        };
        assert_eq!(verdict, expected);
    }
    let body = bucket.encode();
    assert!(body.len() < MAX_BUCKET_BYTES, "{} bytes", body.len());
    assert_eq!(ClaimBucket::read(&body).unwrap(), bucket);
}

#[test]
fn read_refuses_what_is_no_bucket() {
    assert!(ClaimBucket::read("{}").is_err());
    let orphan = format!(
        r#"{{"slice":1,"writers":[],"claims":{{"{}":["00000000000000aa",0,1]}}}}"#,
        sample_key(0)
    );
    assert!(ClaimBucket::read(&orphan).is_err());
}
