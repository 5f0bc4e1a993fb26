//! Which upstreams a node knows, and which one it selects.

use expect_test::expect;
use mesh::{
    HopOutcome, HopReply, InstanceRecord, InstanceState, NodeAddress, NodeRecord, Track,
    UpstreamLoad,
};
use placement::{LatencyHistogram, Locality, PlacementView, Request, Urgency};
use std::fmt::Write;
use std::net::Ipv4Addr;

const SERVICE: &str = "fares";

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn record(host: u8, zone: &str, state: InstanceState) -> NodeRecord {
    NodeRecord {
        address: address(host),
        boot_id: 1,
        sequence: u64::from(state == InstanceState::Draining) + 1,
        zone: zone.to_owned(),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{host}"),
            state,
            slots: 2,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: String::new(),
        }),
    }
}

fn reply(running: u32, queued: u32) -> HopReply {
    HopReply {
        outcome: HopOutcome::Answered,
        running,
        queued,
        limit: 2,
        service_ms: 100,
        spent_ms: 100,
        retry_after_ms: 0,
        state: InstanceState::Ready,
        failing_percent: 0,
        link_percent: 0,
        transfer_wait_ms: 0,
        transfer_bytes_per_ms: 0,
        upstream_ended: false,
        quarantine_left_ms: 0,
        quarantine_crashes: Default::default(),
        egress_wait_ms: 0,
        egress_bytes_per_ms: 0,
        link_full: false,
        service_time_percent: 0,
        reported_service_time_percent: 0,
        rate_limit: None,
        upstream_leaving: false,
        accepts_ms: None,
    }
}

fn view(hosts: &[(u8, &str)]) -> PlacementView {
    let mut view = PlacementView::new(Locality::new(address(200), "a"));
    for (host, zone) in hosts {
        view.update(record(*host, zone, InstanceState::Ready), 0);
    }
    view
}

const URGENCY: Urgency = Urgency { rank: 1, target_ms: 400 };

fn choose(view: &PlacementView, tried: &[NodeAddress], now: u64) -> Option<u8> {
    choose_for(view, URGENCY, tried, now)
}

fn choose_for(
    view: &PlacementView,
    urgency: Urgency,
    tried: &[NodeAddress],
    now: u64,
) -> Option<u8> {
    let request = Request {
        service: SERVICE,
        track: Track::Stable,
        urgency,
        usual_ms: 100.0,
        spread: &LatencyHistogram::default(),
        moved_bytes: 1_500.0,
        target_ms: 400.0,
        left_ms: 2_000,
        body_bytes: 0,
        tried,
    };
    let chosen = view.choose(&request, now, &mut fastrand::Rng::with_seed(now));
    chosen.map(|key| key.ip.octets()[3])
}

#[test]
fn the_own_zone_is_taken_while_it_has_room() {
    let mut view = view(&[(1, "b"), (2, "a"), (3, "c")]);
    for now in 0..50 {
        assert_eq!(choose(&view, &[], now), Some(2));
    }
    // Eight calls wait for two slots: 400 ms and more, the whole remaining time.
    view.get_mut(&address(2)).expect("known upstream").note_reply(reply(2, 8), 50);
    assert_ne!(choose(&view, &[], 50), Some(2));
    // The figures of a reply expire after a second.
    assert_eq!(choose(&view, &[], 1_100), Some(2));
}

#[test]
fn what_was_tried_or_leaves_is_not_taken() {
    let mut view = view(&[(1, "a"), (2, "a")]);
    assert_eq!(choose(&view, &[address(1)], 0), Some(2));
    assert_eq!(choose(&view, &[address(1), address(2)], 0), None);
    view.update(record(2, "a", InstanceState::Draining), 10);
    assert_eq!(choose(&view, &[address(1)], 10), None);
    assert!(view.has_live(SERVICE));
}

#[test]
fn one_that_rests_after_a_failure_is_taken_only_if_there_is_no_other() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.get_mut(&address(1)).expect("known upstream").note_failure(0);
    assert_eq!(choose(&view, &[], 1), Some(2));
    assert_eq!(choose(&view, &[address(2)], 1), Some(1));
    assert_eq!(choose(&view, &[], 400), Some(1), "its backoff is over");
}

#[test]
fn a_node_cut_off_from_the_coordinators_is_kept_while_it_answers() {
    let mut view = view(&[(1, "a"), (2, "a"), (3, "a")]);
    view.get_mut(&address(1)).expect("known upstream").note_reply(reply(1, 0), 9_000);
    view.retain(|key| *key == address(3), 10_000);
    assert!(view.get(&address(1)).is_some(), "it answered a second ago");
    assert!(view.get(&address(2)).is_none());
    // It is unreachable, not only cut off from the coordinators.
    view.get_mut(&address(1)).expect("known upstream").note_failure(10_500);
    view.retain(|key| *key == address(3), 10_600);
    assert!(view.get(&address(1)).is_none());
}

#[test]
fn a_service_never_loses_its_last_upstreams_by_departures_alone() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.retain(|_| false, 10_000);
    assert!(view.has_live(SERVICE));
    view.update(NodeRecord { boot_id: 2, ..record(2, "b", InstanceState::Ready) }, 11_000);
    view.retain(|key| *key == address(2), 11_000);
    assert!(view.get(&address(1)).is_none(), "one was listed again, so the other is removed");
}

#[test]
fn one_that_refused_a_like_call_a_moment_ago_is_not_asked() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.get_mut(&address(1)).expect("known upstream").note_full(URGENCY, 100, 0);
    assert_eq!(choose(&view, &[], 50), Some(2));
    view.get_mut(&address(2)).expect("known upstream").note_full(URGENCY, 60, 0);
    assert_eq!(choose(&view, &[], 50), None, "both are full");
    assert_eq!(view.earliest_retry_at(SERVICE, 50), Some(60));
    assert_eq!(view.earliest_retry_at(SERVICE, 70), Some(100), "an expired refusal does not count");
    assert_eq!(view.earliest_retry_at(SERVICE, 100), None);
    // A more urgent call may overtake those in the queue; a less urgent one has no better chance.
    let more = Urgency { rank: 1, target_ms: 100 };
    let less = Urgency { rank: 2, target_ms: 100 };
    assert_eq!(choose_for(&view, more, &[], 50), Some(1));
    assert_eq!(choose_for(&view, less, &[], 50), None);
    assert_eq!(choose(&view, &[], 70), Some(2), "its refusal has expired");
    view.get_mut(&address(1)).expect("known upstream").note_full(URGENCY, 60_000, 100);
    assert_eq!(
        choose(&view, &[address(2)], 260),
        Some(1),
        "a refusal expires soon, whatever its retry time"
    );
}

#[test]
fn one_that_fails_more_than_others_is_avoided_until_its_word_is_old() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let failing = |percent| HopReply { failing_percent: percent, ..reply(0, 0) };
    let mut report = |host, percent, now| {
        view.get_mut(&address(host)).expect("known upstream").note_reply(failing(percent), now);
        choose(&view, &[], now)
    };
    assert_eq!(report(1, 40, 0), Some(2), "failures cost more than leaving the zone");
    assert_eq!(report(2, 40, 0), Some(1), "both fail at the same rate");
    assert_eq!(report(2, 0, 0), Some(2));
    assert_eq!(choose(&view, &[], 20_000), Some(1), "the reported failure rate has decayed");
}

#[test]
fn the_upstream_beside_is_taken_while_it_has_room() {
    let mut view = view(&[(1, "a"), (2, "a"), (200, "a")]);
    for now in 0..50 {
        assert_eq!(choose(&view, &[], now), Some(200), "calls to the local upstream use no link");
    }
    view.get_mut(&address(200)).expect("known upstream").note_reply(reply(2, 4), 50);
    assert_ne!(choose(&view, &[], 50), Some(200));
}

#[test]
fn the_upstream_beside_is_looked_at_however_large_the_service_is() {
    let hosts: Vec<(u8, &str)> = (1..=199).chain([200]).map(|host| (host, "a")).collect();
    let view = view(&hosts);
    for now in 0..50 {
        assert_eq!(choose(&view, &[], now), Some(200));
    }
}

#[test]
fn one_behind_a_busy_link_is_avoided_until_that_is_old() {
    let busy = |percent| HopReply { link_percent: percent, ..reply(0, 0) };
    let mut local_view = view(&[(1, "a"), (200, "a")]);
    local_view.get_mut(&address(200)).expect("known upstream").note_reply(busy(100), 0);
    assert_eq!(choose(&local_view, &[], 0), Some(200), "the local upstream needs no link");

    let mut view = view(&[(1, "a"), (2, "b")]);
    let mut report = |host, percent, now| {
        view.get_mut(&address(host)).expect("known upstream").note_reply(busy(percent), now);
        choose(&view, &[], now)
    };
    assert_eq!(report(1, 60, 0), Some(1));
    assert_eq!(report(1, 90, 0), Some(2));
    assert_eq!(report(2, 95, 0), Some(1), "both links are busy");
    assert_eq!(report(2, 0, 0), Some(2));
    assert_eq!(choose(&view, &[], 1_000), Some(1));
}

#[test]
fn one_that_let_a_call_wait_without_an_answer_is_avoided_until_it_answers_or_that_is_old() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.get_mut(&address(1)).expect("known upstream").note_unanswered(400.0, 0);
    assert_eq!(choose(&view, &[], 10), Some(2));
    assert_eq!(choose(&view, &[], 10_000), Some(1));
    view.get_mut(&address(1)).expect("known upstream").note_unanswered(400.0, 10_000);
    assert_eq!(choose(&view, &[], 10_010), Some(2));
    view.get_mut(&address(1)).expect("known upstream").note_reply(reply(0, 0), 10_020);
    assert_eq!(choose(&view, &[], 10_020), Some(1));
}

/// Selects between an upstream in the local zone with the given pace and one of average pace in
/// another zone.
fn chosen_at_pace(pace: f64, spread: &LatencyHistogram, moved_bytes: f64) -> u8 {
    let mut view = view(&[(1, "a"), (2, "b")]);
    for (host, pace) in [(1, pace), (2, 1.0)] {
        let load = UpstreamLoad::new(0, 0, 100).with_service_time_percent((pace * 100.0) as u32);
        view.note_load(&address(host), load, 0);
    }
    let request = Request {
        service: SERVICE,
        track: Track::Stable,
        urgency: URGENCY,
        usual_ms: 100.0,
        spread,
        moved_bytes,
        target_ms: 400.0,
        left_ms: 2_000,
        body_bytes: 0,
        tried: &[],
    };
    let chosen = view.choose(&request, 0, &mut fastrand::Rng::with_seed(1));
    chosen.expect("two are live").ip.octets()[3]
}

#[test]
fn another_zone_is_worth_its_bytes_only_where_the_risk_is_greater() {
    let mut tailed = LatencyHistogram::default();
    for number in 0..2_000 {
        tailed.note(if number % 5 == 0 { 2.8 } else { 0.8 });
    }
    let mut even = LatencyHistogram::default();
    for _ in 0..2_000 {
        even.note(1.0);
    }
    let mut output = String::new();
    for (kind, spread) in [("tailed", &tailed), ("even", &even)] {
        for moved_bytes in [1_500.0, 60_000.0] {
            let paces = [1.0, 1.5, 2.0, 3.0, 6.0];
            let chosen = paces.map(|pace| chosen_at_pace(pace, spread, moved_bytes));
            let _ = writeln!(output, "{kind}, {moved_bytes} bytes: {chosen:?}");
        }
    }
    expect![[r#"
        tailed, 1500 bytes: [1, 2, 2, 2, 2]
        tailed, 60000 bytes: [1, 1, 1, 1, 2]
        even, 1500 bytes: [1, 1, 1, 1, 2]
        even, 60000 bytes: [1, 1, 1, 1, 2]
    "#]]
    .assert_eq(&output);
}

#[test]
fn loads_that_coordinators_bring_are_believed_until_the_next_is_overdue() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    let busy = UpstreamLoad::new(2, 8, 100);
    view.note_load(&address(1), busy, 0);
    view.note_load(&address(77), busy, 0);
    assert_eq!(choose(&view, &[], 10), Some(2), "eight calls wait there");
    assert_eq!(choose(&view, &[], 1_100), Some(2), "unchanged loads are reported once a second");
    assert_eq!(choose(&view, &[], 2_300), Some(1), "the next report is overdue");
}

#[test]
fn an_answer_is_newer_than_what_coordinators_bring_a_moment_later() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.get_mut(&address(1)).expect("known upstream").note_reply(reply(0, 0), 100);
    view.note_load(&address(1), UpstreamLoad::new(2, 8, 100), 200);
    assert_eq!(choose(&view, &[], 210), Some(1));
    view.note_load(&address(1), UpstreamLoad::new(2, 8, 100), 500);
    assert_eq!(choose(&view, &[], 510), Some(2));
}

#[test]
fn another_incarnation_has_no_load_of_the_one_before() {
    let mut view = view(&[(1, "a"), (2, "b")]);
    view.note_load(&address(1), UpstreamLoad::new(2, 8, 100), 0);
    let mut other = record(1, "a", InstanceState::Ready);
    other.sequence = 9;
    other.instance.as_mut().expect("instance is set").id = "i-other".to_owned();
    view.update(other, 10);
    assert_eq!(choose(&view, &[], 20), Some(1));
}

#[test]
fn own_calls_are_not_counted_twice() {
    let mut view = view(&[(1, "a")]);
    let upstream = view.get_mut(&address(1)).expect("known upstream");
    upstream.outstanding = 2;
    upstream.note_load(UpstreamLoad::new(2, 0, 100), 0);
    assert_eq!(upstream.load(10), 2.0);
    assert_eq!(upstream.free_slots(10), Some(0.0));
    upstream.outstanding = 0;
    assert_eq!(upstream.free_slots(10), Some(2.0));
    assert_eq!(upstream.free_slots(5_000), None, "no recent report");
}

#[test]
fn a_body_is_offered_by_the_time_it_takes_on_the_slower_link() {
    let mut output = String::new();
    for (own, reported) in [
        (None, 0),
        (Some(125.0), 0),
        (Some(125.0), 1_000),
        (Some(12_500.0), 0),
        (Some(12_500.0), 106),
        (None, 106),
    ] {
        let locality = Locality::new(address(200), "a").with_link(own);
        let mut view = PlacementView::new(locality);
        view.update(record(1, "a", InstanceState::Ready), 0);
        let upstream = view.get_mut(&address(1)).expect("known");
        upstream.note_reply(HopReply { transfer_bytes_per_ms: reported, ..reply(0, 0) }, 0);
        let longest = (0..20_000).take_while(|bytes| !view.is_offered(&address(1), *bytes)).last();
        writeln!(output, "own {own:?}, reported {reported}: {longest:?} bytes without an offer")
            .expect("writing to a string succeeds");
    }
    expect![[r#"
        own None, reported 0: Some(8192) bytes without an offer
        own Some(125.0), reported 0: Some(1000) bytes without an offer
        own Some(125.0), reported 1000: Some(1000) bytes without an offer
        own Some(12500.0), reported 0: Some(8192) bytes without an offer
        own Some(12500.0), reported 106: Some(848) bytes without an offer
        own None, reported 106: Some(848) bytes without an offer
    "#]]
    .assert_eq(&output);
}

#[test]
fn a_body_for_the_upstream_beside_is_never_offered() {
    let mut view = PlacementView::new(Locality::new(address(1), "a").with_link(Some(125.0)));
    view.update(record(1, "a", InstanceState::Ready), 0);
    assert!(!view.is_offered(&address(1), 1_000_000));
    assert!(!view.is_offered(&address(9), 1_000_000), "an unknown upstream");
}

/// A view of two upstreams that reported these paces, in percent, at time 0.
fn paced(first: u32, second: u32) -> PlacementView {
    let mut view = view(&[(1, "a"), (2, "a")]);
    for (host, percent) in [(1, first), (2, second)] {
        view.note_load(
            &address(host),
            UpstreamLoad::new(0, 0, 100).with_service_time_percent(percent),
            0,
        );
    }
    view
}

#[test]
fn the_pace_that_is_told_goes_before_what_one_sender_learned() {
    let mut view = paced(160, 60);
    let first = view.get_mut(&address(1)).expect("known upstream");
    for _ in 0..100 {
        first.note_latency(50.0, 100.0, 0);
    }
    assert_eq!(first.pace(0), 1.6);
    assert_eq!(choose(&view, &[], 0), Some(2));
    // The other one is slowed down by another workload on its machine; all senders learn it from
    // the next load report.
    view.note_load(&address(2), UpstreamLoad::new(0, 0, 100).with_service_time_percent(300), 600);
    assert_eq!(choose(&view, &[], 600), Some(1));
    view.note_load(&address(2), UpstreamLoad::new(0, 0, 100).with_service_time_percent(60), 1_200);
    assert_eq!(choose(&view, &[], 1_200), Some(2));
    // A reported pace expires, after which the pace that this sender learned applies.
    let pace = |view: &PlacementView, at| view.get(&address(1)).expect("known upstream").pace(at);
    assert_eq!(pace(&view, 2_399), 1.6);
    assert!((pace(&view, 2_400) - 0.5).abs() < 0.01, "{}", pace(&view, 2_400));
}

#[test]
fn paces_that_cannot_be_are_bounded_and_none_changes_nothing() {
    for (percent, expected) in [(0, 1.4), (1, 0.1), (65_535, 30.0)] {
        let mut view = paced(140, 100);
        view.note_load(
            &address(1),
            UpstreamLoad::new(0, 0, 100).with_service_time_percent(percent),
            10,
        );
        assert_eq!(view.get(&address(1)).expect("known upstream").pace(10), expected, "{percent}");
    }
}

#[test]
fn another_incarnation_is_not_taken_for_as_quick_as_the_former() {
    let mut view = paced(30, 100);
    let mut other = record(1, "a", InstanceState::Ready);
    other.sequence = 9;
    other.instance.as_mut().expect("instance is set").id = "i-other".to_owned();
    view.update(other, 10);
    let upstream = view.get_mut(&address(1)).expect("known upstream");
    assert_eq!(upstream.pace(10), 0.5, "no samples, so it is tried");
    upstream.outstanding = 1;
    assert_eq!(upstream.pace(10), 1.0, "while one call is in flight");
    upstream.note_latency(300.0, 100.0, 10);
    upstream.outstanding = 0;
    assert!(upstream.pace(10) > 1.0);
}

/// Guards against an upstream starving after slow first calls. Under other load,
/// `crashing_requests.rs` timed out ("not in time: all upstreams are called") because one upstream
/// was given no more calls by any sender (0 of 390 here): a learned pace did not expire, sequential
/// calls always found a faster upstream idle, and a sidecar reports a pace only after fifteen
/// executions.
#[test]
fn an_upstream_whose_first_call_took_long_is_given_another() {
    let mut view = view(&[(1, "a"), (2, "a")]);
    let mut given = Vec::new();
    for now in (0..40_000).step_by(100) {
        let host = choose(&view, &[], now).expect("both are live");
        let spent_ms = if host == 2 && now < 1_000 { 3_000.0 } else { 100.0 };
        let upstream = view.get_mut(&address(host)).expect("known upstream");
        upstream.note_reply(reply(0, 0), now);
        upstream.note_latency(spent_ms, 100.0, now);
        given.push((now, host));
    }
    let second = given.iter().filter(|(now, host)| *host == 2 && *now >= 1_000).count();
    assert!(given.iter().any(|(now, host)| *host == 2 && *now < 1_000), "its first call was slow");
    assert!(second > 100, "{second} of 390 calls went to the upstream that is as fast by now");
}

#[test]
fn a_second_try_goes_only_where_a_slot_is_idle() {
    type Row = (&'static str, fn(&mut PlacementView), Option<u8>);
    let rows: [Row; 6] = [
        ("all idle", |_| {}, Some(2)),
        (
            "one slot free",
            |view| view.note_load(&address(2), UpstreamLoad::new(1, 0, 100), 0),
            None,
        ),
        ("full", |view| view.note_load(&address(2), UpstreamLoad::new(2, 4, 100), 0), None),
        (
            "in backoff",
            |view| view.get_mut(&address(2)).expect("known upstream").note_failure(0),
            None,
        ),
        (
            "refused a similar call",
            |view| {
                view.get_mut(&address(2)).expect("known upstream").note_full(URGENCY, 100, 0);
            },
            None,
        ),
        (
            "filled by own calls",
            |view| view.get_mut(&address(2)).expect("known upstream").outstanding = 1,
            None,
        ),
    ];
    for (name, change, expected) in rows {
        let mut view = paced(100, 100);
        change(&mut view);
        let spread = LatencyHistogram::default();
        let tried = [address(1)];
        let request = Request {
            service: SERVICE,
            track: Track::Stable,
            urgency: URGENCY,
            usual_ms: 100.0,
            spread: &spread,
            moved_bytes: 100.0,
            target_ms: 400.0,
            left_ms: 2_000,
            body_bytes: 0,
            tried: &tried,
        };
        let mut random = fastrand::Rng::with_seed(1);
        let chosen = view.choose_idle(&request, 10, &mut random);
        assert_eq!(chosen.map(|key| key.ip.octets()[3]), expected, "{name}");
    }
    // Its load was never reported.
    let silent = view(&[(2, "a")]);
    let spread = LatencyHistogram::default();
    let request = Request {
        service: SERVICE,
        track: Track::Stable,
        urgency: URGENCY,
        usual_ms: 100.0,
        spread: &spread,
        moved_bytes: 100.0,
        target_ms: 400.0,
        left_ms: 2_000,
        body_bytes: 0,
        tried: &[],
    };
    assert_eq!(silent.choose_idle(&request, 10, &mut fastrand::Rng::with_seed(1)), None);
}

#[test]
fn a_quick_upstream_without_a_free_slot_is_left_to_those_that_have_no_other() {
    let mut output = String::new();
    // Number of calls at the fast upstream, which has two slots; the slower one is idle.
    for pace in [105, 140, 200] {
        let chosen = [0, 1, 2, 4].map(|running| {
            let mut view = paced(60, pace);
            let load = UpstreamLoad::new(running, 0, 100).with_service_time_percent(60);
            view.note_load(&address(1), load, 0);
            choose(&view, &[], 0).expect("two are live")
        });
        writeln!(output, "{pace}: {chosen:?}").expect("writing to a string succeeds");
    }
    expect![[r#"
        105: [1, 2, 2, 2]
        140: [1, 2, 2, 2]
        200: [1, 1, 2, 2]
    "#]]
    .assert_eq(&output);
}

#[test]
fn upstreams_of_an_evacuated_zone_are_not_taken_until_it_is_restored() {
    let mut view = view(&[(1, "b"), (2, "a"), (3, "c")]);
    assert_eq!(choose(&view, &[], 0), Some(2), "the local zone, while it is not evacuated");
    view.set_evacuated(vec!["a".to_owned()], 10);
    for now in 10..60 {
        assert!([Some(1), Some(3)].contains(&choose(&view, &[], now)));
    }
    // Neither an update of a known node nor a new node ends the evacuation.
    view.update(NodeRecord { sequence: 9, ..record(2, "a", InstanceState::Ready) }, 60);
    view.update(record(4, "a", InstanceState::Ready), 60);
    view.set_evacuated(["a", "b"].map(str::to_owned).to_vec(), 70);
    assert_eq!(choose(&view, &[], 70), Some(3));
    // All zones evacuated: no upstream is selected, and calls do not wait for one to become ready.
    view.set_evacuated(["a", "b", "c"].map(str::to_owned).to_vec(), 80);
    assert_eq!(choose(&view, &[], 80), None);
    assert!(view.is_evacuated(SERVICE));
    view.set_evacuated(Vec::new(), 90);
    assert!([Some(2), Some(4)].contains(&choose(&view, &[], 90)), "both of zone a");
    assert!(view.get(&address(2)).expect("known upstream").is_cold(91), "until it reports");
    assert!(!view.get(&address(2)).expect("known upstream").is_cold(90 + 2_000));
}

#[test]
fn a_call_that_outlasts_a_stopping_upstream_goes_elsewhere() {
    // The calls of these tests have 2 s left.
    let rows = [
        // longest time of a call that it accepts, time since it said so, whether it is chosen
        (None, 0, Some(2)),
        (Some(2_000), 0, Some(2)),
        (Some(2_100), 100, Some(2)),
        (Some(2_100), 101, Some(1)),
        (Some(1_999), 0, Some(1)),
        (Some(0), 5_000, Some(1)),
    ];
    for (accepts_ms, since_ms, expected) in rows {
        let mut view = view(&[(1, "b"), (2, "a")]);
        let told = HopReply { accepts_ms, ..reply(0, 0) };
        view.get_mut(&address(2)).expect("known upstream").note_reply(told, 50);
        assert_eq!(choose(&view, &[], 50 + since_ms), expected, "{accepts_ms:?}, {since_ms} ms");
        view.update(NodeRecord { boot_id: 9, ..record(2, "a", InstanceState::Ready) }, 60);
        assert_eq!(choose(&view, &[], 6_000), Some(2), "its next process accepts all again");
    }
}
