//! Load shedding on one node for a service that does not answer all calls in time.

use expect_test::expect;
use placement::{CallEnd, LoadShedder, Urgency};
use std::fmt::Write;

const SERVICE: &str = "fares";
const OUTER: Urgency = Urgency { rank: 1, target_ms: 800 };
const INNER: Urgency = Urgency { rank: 1, target_ms: 200 };

/// Outcomes of the calls of one urgency within one second.
#[derive(Default)]
struct Second {
    in_time: u64,
    missed: u64,
    shed: u64,
}

impl Second {
    fn submit(
        &mut self,
        shedder: &mut LoadShedder,
        urgency: Urgency,
        has_capacity: bool,
        draw: f64,
        now: u64,
    ) -> bool {
        let shed = draw < shedder.shed_probability(SERVICE, urgency, now);
        let in_time = has_capacity && !shed;
        let end = match (shed, in_time) {
            (true, _) => CallEnd::Shed,
            (false, true) => CallEnd::InTime,
            (false, false) => CallEnd::Missed,
        };
        shedder.note(SERVICE, urgency, end, now);
        self.in_time += u64::from(in_time);
        self.missed += u64::from(!in_time && !shed);
        self.shed += u64::from(shed);
        in_time
    }
}

/// Simulates seconds of 60 calls each; in each, the service has capacity for the given number of
/// them, evenly distributed over the second.
fn simulate(capacity_per_second: &[u64]) -> String {
    const CALLS: u64 = 60;
    let mut shedder = LoadShedder::default();
    let mut random = fastrand::Rng::with_seed(7);
    let mut text = String::new();
    for (second, capacity) in capacity_per_second.iter().enumerate() {
        let mut counts = Second::default();
        for call in 0..CALLS {
            let now = second as u64 * 1_000 + call * 1_000 / CALLS;
            let has_capacity = capacity * (call + 1) / CALLS > counts.in_time;
            counts.submit(&mut shedder, OUTER, has_capacity, random.f64(), now);
        }
        let Second { in_time, missed, shed } = counts;
        let attempts = shedder.max_attempts(SERVICE, (second as u64 + 1) * 1_000);
        writeln!(text, "capacity {capacity}: in time {in_time}, missed {missed}, shed {shed}, attempts {attempts}")
            .expect("writing to a string succeeds");
    }
    text
}

#[test]
fn what_is_sent_follows_the_room_there_is() {
    expect![[r#"
        capacity 60: in time 60, missed 0, shed 0, attempts 5
        capacity 60: in time 60, missed 0, shed 0, attempts 5
        capacity 50: in time 50, missed 10, shed 0, attempts 5
        capacity 30: in time 29, missed 26, shed 5, attempts 2
        capacity 30: in time 29, missed 15, shed 16, attempts 2
        capacity 10: in time 10, missed 20, shed 30, attempts 2
        capacity 10: in time 9, missed 5, shed 46, attempts 2
        capacity 60: in time 38, missed 0, shed 22, attempts 2
        capacity 60: in time 60, missed 0, shed 0, attempts 5
        capacity 60: in time 60, missed 0, shed 0, attempts 5
    "#]]
    .assert_eq(&simulate(&[60, 60, 50, 30, 30, 10, 10, 60, 60, 60]));
}

#[test]
fn a_service_without_any_room_is_still_asked() {
    expect![[r#"
        capacity 60: in time 60, missed 0, shed 0, attempts 5
        capacity 0: in time 0, missed 41, shed 19, attempts 2
        capacity 0: in time 0, missed 10, shed 50, attempts 2
        capacity 0: in time 0, missed 7, shed 53, attempts 2
        capacity 60: in time 9, missed 0, shed 51, attempts 2
        capacity 60: in time 30, missed 0, shed 30, attempts 2
        capacity 60: in time 59, missed 0, shed 1, attempts 5
    "#]]
    .assert_eq(&simulate(&[60, 0, 0, 0, 60, 60, 60]));
}

#[test]
fn the_least_urgent_calls_are_held_back_first() {
    let mut shedder = LoadShedder::default();
    let mut random = fastrand::Rng::with_seed(7);
    let (mut outer, mut inner) = (Second::default(), Second::default());
    let mut text = String::new();
    for second in 0..5 {
        (outer, inner) = (Second::default(), Second::default());
        for call in 0..60 {
            let now = second * 1_000 + call * 16;
            // Capacity for 60 of 120 calls, first come, first served.
            let has_capacity = call + 1 > outer.in_time + inner.in_time;
            outer.submit(&mut shedder, OUTER, has_capacity, random.f64(), now);
            let has_capacity = call + 1 > outer.in_time + inner.in_time;
            inner.submit(&mut shedder, INNER, has_capacity, random.f64(), now);
        }
        writeln!(
            text,
            "outer: in time {}, shed {}; inner: in time {}, shed {}",
            outer.in_time, outer.shed, inner.in_time, inner.shed
        )
        .expect("writing to a string succeeds");
    }
    assert!(inner.shed == 0 && outer.shed > 0);
    expect![[r#"
        outer: in time 28, shed 32; inner: in time 32, shed 0
        outer: in time 19, shed 41; inner: in time 41, shed 0
        outer: in time 25, shed 35; inner: in time 35, shed 0
        outer: in time 23, shed 37; inner: in time 37, shed 0
        outer: in time 17, shed 43; inner: in time 43, shed 0
    "#]]
    .assert_eq(&text);
}

#[test]
fn services_are_held_back_each_for_itself() {
    let mut shedder = LoadShedder::default();
    for now in 0..100 {
        shedder.note("full", OUTER, CallEnd::Missed, now);
        shedder.note("free", OUTER, CallEnd::InTime, now);
    }
    assert!(shedder.shed_probability("full", OUTER, 100) > 0.5);
    assert_eq!(shedder.shed_probability("free", OUTER, 100), 0.0);
    assert_eq!(shedder.shed_probability("unknown", OUTER, 100), 0.0);
}
