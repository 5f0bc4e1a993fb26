//! Tests of the rate limit for cold upstreams: it is never exceeded in any second, and it is used up when
//! there is enough load.

use admission::{Admission, Decision, RateLimit, SlotRequest};

const PER_S: f64 = 20.0;
const BURST: f64 = 3.0;
/// Upper bound for any interval of one second: the even rate, the burst, and a call at the boundary.
const MAX_PER_SECOND: usize = 24;
const COLD_MS: u64 = 3_000;
/// Time between learning the rate and the first call.
const KNOWN_FOR_MS: u64 = 1_000;
const LIMIT: u32 = 9;
const SERVICE_MS: u64 = 100;

/// Number of calls that arrive at a given time.
type Load = fn(u64) -> usize;

/// A simulated cold upstream at which each call occupies a slot for `SERVICE_MS`.
struct Upstream {
    admission: Admission,
    /// End times of the running calls.
    ends: Vec<u64>,
    starts: Vec<u64>,
    refused: Vec<(u64, u64)>,
    next: u64,
}

impl Upstream {
    fn cold(until: u64) -> Self {
        Upstream::with_rate_known_at(0, until)
    }

    /// An upstream whose sidecar has just started.
    fn with_rate_known_at(now: u64, until: u64) -> Self {
        let mut admission = Admission::new(LIMIT);
        admission.set_cold_rate(Some(RateLimit { per_s: PER_S, burst: BURST }), now);
        admission.set_cold_until(until);
        Upstream { admission, ends: Vec::new(), starts: Vec::new(), refused: Vec::new(), next: 0 }
    }

    fn started(&mut self, now: u64) {
        self.starts.push(now);
        self.ends.push(now + SERVICE_MS);
    }

    fn step(&mut self, now: u64, calls: usize, nested: bool, patience_ms: u64) {
        let ended = self.ends.iter().filter(|end| **end <= now).count();
        self.ends.retain(|end| *end > now);
        for _ in 0..ended {
            self.admission.release(Some(SERVICE_MS));
        }
        while self.admission.start_next(now).is_some() {
            self.started(now);
        }
        self.admission.expire(now);
        for _ in 0..calls {
            self.next += 1;
            let deadline = now + 2_000;
            let (job, rank, tenant, target_ms) = (self.next, 1, None, 300);
            let request =
                SlotRequest { job, nested, rank, tenant, target_ms, patience_ms, deadline };
            match self.admission.submit(request, now) {
                Decision::Run => self.started(now),
                Decision::Wait => {}
                Decision::Refuse { retry_after_ms } => self.refused.push((now, retry_after_ms)),
            }
        }
    }

    fn max_per_second(&self) -> usize {
        let within = |from: &u64| {
            self.starts.iter().filter(|at| **at >= *from && **at < from + 1_000).count()
        };
        self.starts.iter().map(within).max().unwrap_or(0)
    }
}

#[test]
fn under_any_load_it_is_given_no_more_than_it_bears() {
    // An even load, a herd in the first millisecond, and herds that retry periodically.
    let loads: [(&str, Load); 3] = [
        ("even", |now| usize::from(now % 5 == 0)),
        ("a herd", |now| if now == 0 { 400 } else { 0 }),
        ("herds", |now| if now % 250 == 0 { 60 } else { 0 }),
    ];
    for (name, load) in loads {
        let mut upstream = Upstream::cold(KNOWN_FOR_MS + COLD_MS);
        for since in 0..COLD_MS {
            upstream.step(KNOWN_FOR_MS + since, load(since), false, 75);
        }
        assert!(upstream.max_per_second() <= MAX_PER_SECOND, "{name}: {:?}", upstream.starts);
        assert!(upstream.starts.len() >= 4, "{name}: the available rate is used");
    }
}

#[test]
fn an_even_load_uses_what_it_bears_and_the_rest_is_refused_at_once_with_a_true_time() {
    let mut upstream = Upstream::cold(COLD_MS);
    for now in 0..COLD_MS {
        upstream.step(now, usize::from(now % 10 == 0), false, 75);
    }
    let served = upstream.starts.len();
    assert!((55..=66).contains(&served), "20 a second for 3 s and the burst: {served}");
    for (at, after) in &upstream.refused {
        // About 80 calls that were refused earlier retry as well and need slots once it is warm.
        let warm = (COLD_MS - at).max(10 * SERVICE_MS);
        assert!(*after <= warm, "refused at {at} until {after} ms later");
    }
}

#[test]
fn without_the_rate_the_same_check_fails() {
    let mut upstream = Upstream::cold(0);
    for now in 0..COLD_MS {
        upstream.step(now, usize::from(now % 5 == 0), false, 75);
    }
    assert!(upstream.max_per_second() > MAX_PER_SECOND);
}

#[test]
fn begun_work_goes_first_to_a_cold_upstream() {
    let mut upstream = Upstream::cold(COLD_MS);
    upstream.step(0, 8, false, 400);
    let (starts, waiting) = (upstream.starts.len(), upstream.admission.queued());
    upstream.step(1, 1, true, 400);
    assert_eq!(upstream.admission.queued(), waiting + 1);
    let before = upstream.next;
    let first = (2..200).find_map(|now| upstream.admission.start_next(now));
    assert_eq!(first, Some(before), "{starts} had started");
}

#[test]
fn a_restart_in_the_same_second_is_given_no_second_burst() {
    let mut upstream = Upstream::cold(COLD_MS);
    upstream.step(0, 50, false, 75);
    upstream.admission.restarted(300);
    upstream.admission.set_cold_until(300 + COLD_MS);
    for now in 300..1_000 {
        upstream.step(now, usize::from(now % 2 == 0), false, 75);
    }
    assert!(upstream.max_per_second() <= MAX_PER_SECOND);
}

// A process that started next to a cold upstream sent it a burst although the previous process had
// already done so.
#[test]
fn a_process_that_starts_beside_a_cold_upstream_gives_it_no_second_burst() {
    let mut previous = Upstream::cold(KNOWN_FOR_MS + COLD_MS);
    previous.step(KNOWN_FOR_MS, 50, false, 75);
    for started in KNOWN_FOR_MS + 1..KNOWN_FOR_MS + 1_000 {
        let mut upstream = Upstream::with_rate_known_at(started, KNOWN_FOR_MS + COLD_MS);
        upstream.starts = previous.starts.clone();
        for now in started..started + 1_000 {
            upstream.step(now, 1, false, 75);
        }
        let most = upstream.max_per_second();
        assert!(most <= MAX_PER_SECOND, "started at {started}: {most}");
    }
}

// A process without a configuration forwarded all calls to a cold upstream.
#[test]
fn a_cold_upstream_is_given_nothing_before_it_is_known_what_it_bears() {
    let mut admission = Admission::new(LIMIT);
    admission.set_cold_until(COLD_MS);
    let request = SlotRequest {
        job: 1,
        nested: false,
        rank: 1,
        tenant: None,
        target_ms: 300,
        patience_ms: 400,
        deadline: 2_000,
    };
    assert_eq!(admission.submit(request, 0), Decision::Wait);
    let starts: Vec<u64> = (0..100).filter(|now| admission.start_next(*now).is_some()).collect();
    assert_eq!(starts, []);
    assert!(admission.next_start(100).is_some_and(|at| at <= 150), "it is checked again soon");
    admission.set_cold_rate(None, 100);
    assert_eq!(admission.start_next(100), Some(1));
}

#[test]
fn what_was_given_before_word_came_that_it_is_cold_counts() {
    let mut upstream = Upstream::cold(0);
    for now in 0..500 {
        upstream.step(now, usize::from(now % 20 == 0), false, 75);
    }
    let before = upstream.starts.len();
    upstream.admission.set_cold_until(500 + COLD_MS);
    for now in 500..1_000 {
        upstream.step(now, usize::from(now % 20 == 0), false, 75);
    }
    assert!(before >= 20 && upstream.starts.len() <= MAX_PER_SECOND + 2, "{before}");
}

#[test]
fn one_that_is_cold_for_a_year_is_given_what_it_bears_all_the_same() {
    let mut upstream = Upstream::cold(u64::MAX);
    for now in 0..2_000 {
        upstream.step(now, usize::from(now % 10 == 0), false, 75);
    }
    assert!(upstream.starts.len() >= 38, "{}", upstream.starts.len());
}

#[test]
fn a_waiting_call_starts_when_there_is_room_without_a_slot_given_back() {
    let mut upstream = Upstream::cold(COLD_MS);
    upstream.step(0, 5, false, 400);
    let at = upstream.admission.next_start(0).expect("one waits and slots are free");
    assert!(upstream.admission.start_next(at - 1).is_none());
    assert!(upstream.admission.start_next(at).is_some());
}
