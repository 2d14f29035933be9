//! Two requests share a fingerprint exactly when their contents are the same.

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
fn every_field_counts_and_the_key_too() {
    let others = [
        RequestContent { method: "PUT", ..CONTENT },
        RequestContent { host: "two.example", ..CONTENT },
        RequestContent { path: "/a/b", ..CONTENT },
        RequestContent { tenant: None, ..CONTENT },
        RequestContent { tenant: Some(""), ..CONTENT },
        RequestContent { body: b"other", ..CONTENT },
        // The same bytes in a row, divided elsewhere.
        RequestContent { host: "one.example/", path: "a/b?c", ..CONTENT },
    ];
    let made = key(1).fingerprint(&CONTENT);
    assert_eq!(made, key(1).fingerprint(&RequestContent { host: "ONE.example", ..CONTENT }));
    assert!(others.iter().all(|other| key(1).fingerprint(other) != made));
    assert_ne!(key(2).fingerprint(&CONTENT), made);
}

quickcheck! {
    fn a_fingerprint_is_read_as_it_is_shown(bytes: u128) -> bool {
        let fingerprint = RequestFingerprint(bytes.to_be_bytes());
        fingerprint.to_string().parse() == Ok(fingerprint)
    }

    fn other_bodies_have_other_fingerprints(one: Vec<u8>, other: Vec<u8>) -> bool {
        let made = |body: &[u8]| key(1).fingerprint(&RequestContent { body, ..CONTENT });
        (one == other) == (made(&one) == made(&other))
    }
}
