//! Names of teams and hashes of their keys.

use alderhaven_core::ids::TeamId;
use alderhaven_core::team::{self, TeamPolicy};
use alderhaven_core::token_hash::TokenHash;

/// Guards against a platform's team whose name a header would change or could not carry.
#[test]
fn platform_name_is_any_text_that_a_header_carries() {
    for name in ["acme", "Acme Search", "größe", "a/b"] {
        let team = TeamId::of_platform(name).expect("a valid name");
        assert_eq!(team.as_str(), name);
    }
    for name in [
        "", " ", " acme", "acme\t", "ac\nme", "ac\rme", "ac\0me", "\u{7f}",
    ] {
        assert!(TeamId::of_platform(name).is_err(), "{name:?}");
    }
}

/// Guards against an error that shows a key which was written in place of its hash.
#[test]
fn token_hash_error_does_not_contain_the_text() {
    let error = "plain-key".parse::<TokenHash>();
    let error = error.expect_err("the text is no hash").to_string();
    assert!(!error.contains("plain-key"), "{error}");
}

/// Guards against entries and fronts that hash the same key differently.
#[test]
fn token_hash_has_the_text_form_of_published_policies() {
    let hash = TokenHash::of_token(b"key-1");
    assert_eq!(hash.to_string(), team::hash_token("key-1"));
    assert_eq!(hash.to_string().parse::<TokenHash>(), Ok(hash));
    let policy = TeamPolicy {
        other_token_hashes: vec![hash.to_string()],
        ..TeamPolicy::new("acme".parse().expect("a valid name"))
    };
    assert!(policy.check().is_empty());
    assert!(policy.accepts_token(Some("key-1")));
    assert!(!policy.accepts_token(Some("key-2")));
}
