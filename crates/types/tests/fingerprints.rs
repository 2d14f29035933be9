//! Fingerprints are equal exactly for equal contents under the same key.

use juniper_types::{FingerprintKey, RequestContent, RequestFingerprint};
use quickcheck::quickcheck;

fn key(byte: u8) -> FingerprintKey {
    FingerprintKey::new([byte; 32])
}

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "one.example",
    path: "/a/b?c",
    tenant: Some("tenant"),
    body: b"body",
};

#[test]
fn fingerprints_depend_on_every_field_and_on_the_key() {
    let others = [
        RequestContent { method: "PUT", ..CONTENT },
        RequestContent { host: "two.example", ..CONTENT },
        RequestContent { path: "/a/b", ..CONTENT },
        RequestContent { tenant: None, ..CONTENT },
        RequestContent { tenant: Some(""), ..CONTENT },
        RequestContent { body: b"other", ..CONTENT },
        // Same concatenation, different field boundary.
        RequestContent { host: "one.example/", path: "a/b?c", ..CONTENT },
    ];
    let original = key(1).fingerprint(&CONTENT);
    assert_eq!(original, key(1).fingerprint(&RequestContent { host: "ONE.example", ..CONTENT }));
    assert!(others.iter().all(|other| key(1).fingerprint(other) != original));
    assert_ne!(key(2).fingerprint(&CONTENT), original);
}

quickcheck! {
    fn fingerprints_round_trip_through_text(bytes: u128) -> bool {
        let fingerprint = RequestFingerprint(bytes.to_be_bytes());
        fingerprint.to_string().parse() == Ok(fingerprint)
    }

    fn fingerprints_are_equal_exactly_for_equal_bodies(one: Vec<u8>, other: Vec<u8>) -> bool {
        let fingerprint_of = |body: &[u8]| key(1).fingerprint(&RequestContent { body, ..CONTENT });
        (one == other) == (fingerprint_of(&one) == fingerprint_of(&other))
    }
}
