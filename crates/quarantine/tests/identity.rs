//! Tests of request fingerprints.

use quarantine::RequestIdentity;

const BASE: RequestIdentity<'static> = RequestIdentity {
    service: "fares",
    method: "GET",
    target: "/fares/7?zone=2",
    host: "fares.example",
    body: b"",
};

#[test]
fn whatever_an_upstream_sees_tells_requests_apart() {
    let others = [
        RequestIdentity { service: "cards", ..BASE },
        RequestIdentity { method: "POST", ..BASE },
        RequestIdentity { target: "/fares/7?zone=3", ..BASE },
        RequestIdentity { host: "other.example", ..BASE },
        RequestIdentity { body: b"x", ..BASE },
        // The same bytes with a different boundary between the parts.
        RequestIdentity { method: "GET/", target: "fares/7?zone=2", ..BASE },
    ];
    assert_eq!(BASE.fingerprint(), BASE.fingerprint());
    for other in others {
        assert_ne!(other.fingerprint(), BASE.fingerprint(), "{other:?}");
    }
}

#[test]
fn long_bodies_are_told_apart_by_length_and_both_ends() {
    let body = vec![7_u8; 100_000];
    let fingerprint = |body: &[u8]| RequestIdentity { body, ..BASE }.fingerprint();
    let changed = |index: usize| {
        let mut other = body.clone();
        other[index] = 8;
        fingerprint(&other)
    };
    assert_ne!(fingerprint(&body[1..]), fingerprint(&body));
    assert_ne!(changed(0), fingerprint(&body));
    assert_ne!(changed(99_999), fingerprint(&body));
    assert_eq!(changed(50_000), fingerprint(&body), "the middle of a long body is not hashed");
}
