//! The rate limit that an upstream states is kept by the sidecar beside it, whatever the load.

use admission::{Admission, Decision, SlotRequest, Throttling};
use mesh::CallRate;

const SLOTS: u32 = 18;
const PATIENCE_MS: u64 = 150;
const WINDOW_MS: u64 = 4_000;
/// What may exceed the rate in a window: the burst and a call at the boundary.
const MAX_BEYOND: f64 = 4.0;

struct Upstream {
    admission: Admission,
    starts: Vec<u64>,
    refused: Vec<u64>,
    next: u64,
}

impl Upstream {
    fn with_limit(per_s: f64) -> Self {
        let mut upstream = Upstream {
            admission: Admission::new(SLOTS),
            starts: Vec::new(),
            refused: Vec::new(),
            next: 0,
        };
        upstream.admission.set_cold_rate(None, 0);
        upstream.state(per_s, 0);
        upstream
    }

    fn state(&mut self, per_s: f64, now: u64) {
        self.admission.set_stated_rate(CallRate::from_per_s(per_s), now);
    }

    /// Calls arrive, and each that starts has ended before the next millisecond.
    fn step(&mut self, now: u64, calls: usize) {
        while self.admission.start_next(now).is_some() {
            self.starts.push(now);
            self.admission.release(None);
        }
        self.admission.expire(now);
        for _ in 0..calls {
            self.next += 1;
            let request = SlotRequest {
                job: self.next,
                nested: false,
                rank: 1,
                tenant: None,
                target_ms: 600,
                patience_ms: PATIENCE_MS,
                deadline: now + 2_000,
            };
            match self.admission.submit(request, now) {
                Decision::Run => {
                    self.starts.push(now);
                    self.admission.release(None);
                }
                Decision::Wait => {}
                Decision::Refuse { retry_after_ms } => self.refused.push(retry_after_ms),
            }
        }
    }

    fn most_in_a_window(&self) -> usize {
        let in_window = |from: &u64| {
            let window = *from..from + WINDOW_MS;
            self.starts.iter().filter(|at| window.contains(at)).count()
        };
        self.starts.iter().map(in_window).max().unwrap_or(0)
    }
}

#[test]
fn no_window_gets_more_than_the_rate_and_a_small_burst() {
    for per_s in [0.2, 1.0, 2.0, 13.3, 40.0, 250.0] {
        let mut upstream = Upstream::with_limit(per_s);
        for now in 0..20_000 {
            // A load above the limit, pauses, and herds.
            let calls = match now {
                _ if now / 3_000 % 2 == 1 => 0,
                _ if now % 500 == 0 => 50,
                _ => usize::from(now % 3 == 0),
            };
            upstream.step(now, calls);
        }
        let most = upstream.most_in_a_window() as f64;
        let allowed = per_s * WINDOW_MS as f64 / 1_000.0 + MAX_BEYOND;
        assert!(most <= allowed, "{per_s} a second: {most} of {allowed}");
    }
}

#[test]
fn a_load_above_the_limit_uses_it_up() {
    for per_s in [2.0, 13.3, 40.0] {
        let mut upstream = Upstream::with_limit(per_s);
        for now in 0..20_000 {
            upstream.step(now, usize::from(now % 10 == 0));
        }
        let share = upstream.starts.len() as f64 / (per_s * 20.0);
        assert!((0.95..=1.1).contains(&share), "{per_s} a second: {share:.2} of it used");
    }
}

#[test]
fn an_upstream_that_takes_nothing_is_still_asked_now_and_then() {
    for per_s in [0.0, 1e-9] {
        let mut upstream = Upstream::with_limit(per_s);
        for now in 0..20_000 {
            upstream.step(now, usize::from(now % 10 == 0));
        }
        assert_eq!(upstream.starts.len(), 3, "{:?}", upstream.starts);
        assert!(upstream.most_in_a_window() <= 5, "what an upstream tolerates beyond its limit");
    }
}

#[test]
fn a_process_that_has_just_learned_of_a_limit_gives_no_burst() {
    let mut upstream = Upstream::with_limit(2.0);
    upstream.step(0, 50);
    upstream.step(499, 50);
    assert_eq!(upstream.starts, [], "the former process may have used the burst");
    upstream.step(500, 50);
    assert_eq!(upstream.starts.len(), 1);
}

#[test]
fn a_change_keeps_what_was_used_and_never_blocks_for_long() {
    let mut upstream = Upstream::with_limit(1e300);
    for now in 0..1_000 {
        upstream.step(now, 1);
    }
    let before = upstream.starts.len();
    upstream.state(10.0, 1_000);
    for now in 1_000..5_000 {
        upstream.step(now, 1);
    }
    let after = upstream.starts.len() - before;
    assert!((40..=44).contains(&after), "{after} in 4 s at 10 a second");
    upstream.state(100.0, 5_000);
    let before = upstream.starts.len();
    for now in 5_000..6_000 {
        upstream.step(now, 1);
    }
    assert!(upstream.starts.len() - before >= 95, "a raised limit is used at once");
}

#[test]
fn a_limit_that_varies_a_little_with_every_answer_is_used_all_the_same() {
    let mut upstream = Upstream::with_limit(13.3);
    for now in 0..10_000 {
        if now % 75 == 0 {
            upstream.state(if now % 2 == 0 { 13.2 } else { 13.4 }, now);
        }
        upstream.step(now, usize::from(now % 10 == 0));
    }
    let used = upstream.starts.len() as f64 / 133.0;
    assert!(used >= 0.95, "{used:.2} of it");
}

#[test]
fn what_a_lowered_limit_does_not_admit_in_time_is_refused_at_once() {
    let mut upstream = Upstream::with_limit(40.0);
    upstream.step(0, 60);
    let waiting = upstream.admission.queued();
    assert!(waiting > 3, "{waiting}");
    upstream.state(0.5, 1);
    let dropped = upstream.admission.drop_unservable(1);
    assert_eq!(dropped.len() as u32, waiting, "none of them starts within its patience");
    assert_eq!(upstream.admission.throttling(1), Some(Throttling::StatedLimit));
    let last = upstream.refused.last().copied().unwrap_or(0);
    assert!(last > PATIENCE_MS, "{last}");
}

#[test]
fn a_lifted_limit_binds_no_more() {
    let mut upstream = Upstream::with_limit(0.0);
    upstream.admission.set_stated_rate(None, 10);
    upstream.step(10, 5);
    assert_eq!(upstream.starts, [10; 5]);
}
