//! Encoding and decoding of the headers that sidecars add to calls.

use expect_test::expect;
use mesh::{
    CallRate, CrashId, Departure, HopOutcome, HopReply, HopRequest, InstanceState, LimitReport,
};

fn reply() -> HopReply {
    HopReply {
        outcome: HopOutcome::Answered,
        running: 3,
        queued: 1,
        limit: 9,
        service_ms: 120,
        spent_ms: 97,
        retry_after_ms: 0,
        state: InstanceState::Draining,
        failing_percent: 12,
        link_percent: 40,
        transfer_wait_ms: 75,
        transfer_bytes_per_ms: 800,
        upstream_ended: false,
        quarantine_left_ms: 0,
        quarantine_crashes: Default::default(),
        egress_wait_ms: 310,
        egress_bytes_per_ms: 1900,
        link_full: true,
        service_time_percent: 0,
        reported_service_time_percent: 0,
        rate_limit: None,
        upstream_leaving: false,
        accepts_ms: None,
    }
}

#[test]
fn a_reply_is_read_as_it_was_written() {
    expect!["a 3 1 9 120 97 0 d 12 40 75 800 0 0 310 1900 1 0 0"].assert_eq(&reply().encode());
    assert_eq!(HopReply::decode(&reply().encode()), Some(reply()));
}

#[test]
fn a_reply_of_a_call_in_quarantine_names_what_that_rests_on() {
    let quarantine_crashes = [CrashId(0xabc), CrashId(u64::MAX)];
    let quarantined = HopReply { quarantine_left_ms: 59_000, quarantine_crashes, ..reply() };
    expect![
        "a 3 1 9 120 97 0 d 12 40 75 800 0 59000 310 1900 1 0 0 0000000000000abc ffffffffffffffff"
    ]
    .assert_eq(&quarantined.encode());
    assert_eq!(HopReply::decode(&quarantined.encode()), Some(quarantined));
}

#[test]
fn a_reply_tells_what_the_upstream_states() {
    let rate = CallRate::from_per_s(13.3).expect("a rate");
    let rows = [
        (Some(LimitReport::Limited(rate)), false),
        (Some(LimitReport::Lifted), false),
        (None, true),
        (Some(LimitReport::Limited(rate)), true),
    ];
    let mut text = String::new();
    for (rate_limit, upstream_leaving) in rows {
        let told = HopReply { rate_limit, upstream_leaving, ..reply() };
        assert_eq!(HopReply::decode(&told.encode()), Some(told));
        text += &format!("{}\n", told.encode());
    }
    expect![[r#"
        a 3 1 9 120 97 0 d 12 40 75 800 0 0 310 1900 1 0 0 0000000000000000 0000000000000000 13.3 -
        a 3 1 9 120 97 0 d 12 40 75 800 0 0 310 1900 1 0 0 0000000000000000 0000000000000000 u -
        a 3 1 9 120 97 0 d 12 40 75 800 0 0 310 1900 1 0 0 0000000000000000 0000000000000000 - l
        a 3 1 9 120 97 0 d 12 40 75 800 0 0 310 1900 1 0 0 0000000000000000 0000000000000000 13.3 l
    "#]]
    .assert_eq(&text);
}

#[test]
fn a_reply_of_a_stopping_sidecar_tells_what_it_still_accepts() {
    let told = HopReply { accepts_ms: Some(3_200), ..reply() };
    expect![
        "a 3 1 9 120 97 0 d 12 40 75 800 0 0 310 1900 1 0 0 0000000000000000 0000000000000000 - - 3200"
    ]
    .assert_eq(&told.encode());
    for accepts_ms in [None, Some(0), Some(3_200)] {
        let told = HopReply { accepts_ms, upstream_leaving: true, ..reply() };
        assert_eq!(HopReply::decode(&told.encode()), Some(told));
    }
}

#[test]
fn a_rate_is_read_as_it_was_written() {
    for per_s in [0.0, 0.2, 13.3, 1e6, 1e300] {
        let rate = CallRate::from_per_s(per_s).expect("a rate");
        assert_eq!(rate.to_string().parse(), Ok(rate), "{per_s}");
    }
    for text in ["", "-1", "NaN", "inf", "1,5", "u"] {
        assert!(text.parse::<CallRate>().is_err(), "{text:?}");
    }
}

#[test]
fn a_request_tells_the_limit_that_its_sender_knows() {
    let rate_limit = CallRate::from_per_s(0.2);
    for usual_ms in [0, 80] {
        let told = HopRequest { usual_ms, rate_limit, ..request() };
        assert_eq!(HopRequest::decode(&told.encode()), Some(told));
    }
    let told = HopRequest { usual_ms: 80, rate_limit, ..request() };
    expect!["900 120 2 600 1 fares - ab 77 - 80 0.2"].assert_eq(&told.encode());
}

#[test]
fn a_reply_of_an_earlier_version_is_read_too() {
    let without_egress =
        HopReply { egress_wait_ms: 0, egress_bytes_per_ms: 0, link_full: false, ..reply() };
    assert_eq!(HopReply::decode("a 3 1 9 120 97 0 d 12 40 75 800 0 0"), Some(without_egress));
    let without_transfer =
        HopReply { transfer_wait_ms: 0, transfer_bytes_per_ms: 0, ..without_egress };
    assert_eq!(HopReply::decode("a 3 1 9 120 97 0 d 12 40"), Some(without_transfer));
    let without_link = HopReply { failing_percent: 0, link_percent: 0, ..without_transfer };
    assert_eq!(HopReply::decode("a 3 1 9 120 97 0 d"), Some(without_link));
}

#[test]
fn what_is_no_reply_is_not_read() {
    for text in
        ["", "x 3 1 9 120 97 0 d", "a 3 1 9 120 97 d", "a 3 1 9 120 97 0 z", "a -1 1 9 1 1 0 r"]
    {
        assert_eq!(HopReply::decode(text), None, "{text}");
    }
}

fn request() -> HopRequest {
    HopRequest {
        deadline_ms: 900,
        patience_ms: 120,
        rank: 2,
        target_ms: 600,
        repeatable: true,
        service: "fares".to_owned(),
        instance: None,
        departure: Some(Departure { clock: 0xab, at_ms: 77 }),
        suspect: false,
        nested: false,
        repeat: false,
        hedge: false,
        usual_ms: 0,
        rate_limit: None,
    }
}

#[test]
fn a_request_is_read_as_it_was_written() {
    expect!["900 120 2 600 1 fares - ab 77"].assert_eq(&request().encode());
    let suspect = HopRequest { suspect: true, nested: false, ..request() };
    expect!["900 120 2 600 1 fares - ab 77 s"].assert_eq(&suspect.encode());
    let nested = HopRequest { nested: true, ..request() };
    expect!["900 120 2 600 1 fares - ab 77 b"].assert_eq(&nested.encode());
    let both = HopRequest { nested: true, ..suspect.clone() };
    expect!["900 120 2 600 1 fares - ab 77 sb"].assert_eq(&both.encode());
    let without_departure = HopRequest { departure: None, ..suspect.clone() };
    for request in [request(), suspect, without_departure, nested, both] {
        assert_eq!(HopRequest::decode(&request.encode()), Some(request));
    }
}
