//! Calls for a service that does not answer all in time, on one node.

use expect_test::expect;
use placement::{CallEnd, LoadShedder, Urgency};
use std::fmt::Write;

const SERVICE: &str = "fares";
const OUTER: Urgency = Urgency { rank: 1, target_ms: 800 };
const INNER: Urgency = Urgency { rank: 1, target_ms: 200 };

/// What became of calls of one urgency in one second.
#[derive(Default)]
struct Second {
    in_time: u64,
    missed: u64,
    held_back: u64,
}

impl Second {
    fn take(
        &mut self,
        pressure: &mut LoadShedder,
        urgency: Urgency,
        has_room: bool,
        draw: f64,
        now: u64,
    ) -> bool {
        let held_back = draw < pressure.shed_probability(SERVICE, urgency, now);
        let in_time = has_room && !held_back;
        let end = match (held_back, in_time) {
            (true, _) => CallEnd::Shed,
            (false, true) => CallEnd::InTime,
            (false, false) => CallEnd::Missed,
        };
        pressure.note(SERVICE, urgency, end, now);
        self.in_time += u64::from(in_time);
        self.missed += u64::from(!in_time && !held_back);
        self.held_back += u64::from(held_back);
        in_time
    }
}

/// Seconds of 60 calls each; a service has room for so many of them a second, evenly over it.
fn story(room_each_second: &[u64]) -> String {
    const CALLS: u64 = 60;
    let mut pressure = LoadShedder::default();
    let mut random = fastrand::Rng::with_seed(7);
    let mut text = String::new();
    for (second, room) in room_each_second.iter().enumerate() {
        let mut seen = Second::default();
        for call in 0..CALLS {
            let now = second as u64 * 1_000 + call * 1_000 / CALLS;
            let has_room = room * (call + 1) / CALLS > seen.in_time;
            seen.take(&mut pressure, OUTER, has_room, random.f64(), now);
        }
        let Second { in_time, missed, held_back } = seen;
        let offers = pressure.max_attempts(SERVICE, (second as u64 + 1) * 1_000);
        writeln!(text, "room {room}: in time {in_time}, missed {missed}, held back {held_back}, offers {offers}")
            .expect("text");
    }
    text
}

#[test]
fn what_is_sent_follows_the_room_there_is() {
    expect![[r#"
        room 60: in time 60, missed 0, held back 0, offers 5
        room 60: in time 60, missed 0, held back 0, offers 5
        room 50: in time 50, missed 10, held back 0, offers 5
        room 30: in time 29, missed 26, held back 5, offers 2
        room 30: in time 29, missed 15, held back 16, offers 2
        room 10: in time 10, missed 20, held back 30, offers 2
        room 10: in time 9, missed 5, held back 46, offers 2
        room 60: in time 38, missed 0, held back 22, offers 2
        room 60: in time 60, missed 0, held back 0, offers 5
        room 60: in time 60, missed 0, held back 0, offers 5
    "#]]
    .assert_eq(&story(&[60, 60, 50, 30, 30, 10, 10, 60, 60, 60]));
}

#[test]
fn a_service_without_any_room_is_still_asked() {
    expect![[r#"
        room 60: in time 60, missed 0, held back 0, offers 5
        room 0: in time 0, missed 41, held back 19, offers 2
        room 0: in time 0, missed 10, held back 50, offers 2
        room 0: in time 0, missed 7, held back 53, offers 2
        room 60: in time 9, missed 0, held back 51, offers 2
        room 60: in time 30, missed 0, held back 30, offers 2
        room 60: in time 59, missed 0, held back 1, offers 5
    "#]]
    .assert_eq(&story(&[60, 0, 0, 0, 60, 60, 60]));
}

#[test]
fn the_least_urgent_calls_are_held_back_first() {
    let mut pressure = LoadShedder::default();
    let mut random = fastrand::Rng::with_seed(7);
    let (mut outer, mut inner) = (Second::default(), Second::default());
    let mut text = String::new();
    for second in 0..5 {
        (outer, inner) = (Second::default(), Second::default());
        for call in 0..60 {
            let now = second * 1_000 + call * 16;
            // Room for 60 of 120, whoever comes first.
            let has_room = call + 1 > outer.in_time + inner.in_time;
            outer.take(&mut pressure, OUTER, has_room, random.f64(), now);
            let has_room = call + 1 > outer.in_time + inner.in_time;
            inner.take(&mut pressure, INNER, has_room, random.f64(), now);
        }
        writeln!(
            text,
            "outer: in time {}, held back {}; inner: in time {}, held back {}",
            outer.in_time, outer.held_back, inner.in_time, inner.held_back
        )
        .expect("text");
    }
    assert!(inner.held_back == 0 && outer.held_back > 0);
    expect![[r#"
        outer: in time 28, held back 32; inner: in time 32, held back 0
        outer: in time 19, held back 41; inner: in time 41, held back 0
        outer: in time 25, held back 35; inner: in time 35, held back 0
        outer: in time 23, held back 37; inner: in time 37, held back 0
        outer: in time 17, held back 43; inner: in time 43, held back 0
    "#]]
    .assert_eq(&text);
}

#[test]
fn services_are_held_back_each_for_itself() {
    let mut pressure = LoadShedder::default();
    for now in 0..100 {
        pressure.note("full", OUTER, CallEnd::Missed, now);
        pressure.note("free", OUTER, CallEnd::InTime, now);
    }
    assert!(pressure.shed_probability("full", OUTER, 100) > 0.5);
    assert_eq!(pressure.shed_probability("free", OUTER, 100), 0.0);
    assert_eq!(pressure.shed_probability("unknown", OUTER, 100), 0.0);
}
