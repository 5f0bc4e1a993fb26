//! Refusals where work enters, in virtual time: senders that each drive a controller of their own, and
//! upstreams with slots and a short queue, whose loads come late.

use expect_test::expect;
use placement::{EntryControl, Urgency, Wait, Waits, Work};
use std::collections::VecDeque;
use std::fmt::Write;

const SERVICE: &str = "fares";
const NEW: Urgency = Urgency { rank: 1, target_ms: 600 };
const URGENT: Urgency = Urgency { rank: 0, target_ms: 600 };
const STEP_MS: u64 = 5;
const WORK_MS: u64 = 100;
/// Longest wait for a slot that is of use, where targets are long and where they are short.
const PATIENCE_MS: u64 = 150;
const SHORT_PATIENCE_MS: u64 = 50;
const LOADS_EVERY_MS: u64 = 300;
const LOADS_LATE_MS: u64 = 200;

struct Upstream {
    slots: usize,
    /// When each run ends.
    running: Vec<u64>,
    /// When each call that waits came.
    waiting: VecDeque<u64>,
}

impl Upstream {
    fn all(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}

/// What befalls the loads that are told.
#[derive(Clone, Copy, PartialEq)]
enum Loads {
    Told,
    /// One upstream tells a full queue, whatever it has.
    OneLies,
    /// None comes from this time on.
    StopAt(u64),
}

struct Fleet {
    senders: Vec<EntryControl>,
    upstreams: Vec<Upstream>,
    random: fastrand::Rng,
    loads: Loads,
    patience_ms: u64,
    /// Wait in turns, and when senders hear it.
    told: VecDeque<(u64, Option<Wait>)>,
    heard: Option<Wait>,
    now: u64,
    in_time: u64,
    refused_here: u64,
    refused_there: u64,
    came: u64,
}

impl Fleet {
    fn new(senders: usize, upstreams: usize, slots: usize, loads: Loads) -> Self {
        let mut sender = EntryControl::default();
        sender.note_lineage();
        let upstream = || Upstream { slots, running: Vec::new(), waiting: VecDeque::new() };
        Fleet {
            senders: vec![sender; senders],
            upstreams: (0..upstreams).map(|_| upstream()).collect(),
            random: fastrand::Rng::with_seed(1),
            loads,
            patience_ms: PATIENCE_MS,
            told: VecDeque::new(),
            heard: None,
            now: 0,
            in_time: 0,
            refused_here: 0,
            refused_there: 0,
            came: 0,
        }
    }

    /// Calls a millisecond that all slots can run.
    fn capacity(&self) -> f64 {
        let slots: usize = self.upstreams.iter().map(|upstream| upstream.slots).sum();
        slots as f64 / WORK_MS as f64
    }

    /// Plays on, with so many times the capacity coming in at each moment.
    fn play(&mut self, for_ms: u64, load: impl Fn(u64) -> f64) -> &mut Self {
        let until = self.now + for_ms;
        while self.now < until {
            self.end_and_start();
            self.tell();
            let mut due = self.capacity() * load(self.now) * STEP_MS as f64;
            while due > 0.0 {
                if due >= 1.0 || self.random.f64() < due {
                    self.call();
                }
                due -= 1.0;
            }
            self.now += STEP_MS;
        }
        self
    }

    fn end_and_start(&mut self) {
        let now = self.now;
        for upstream in &mut self.upstreams {
            upstream.running.retain(|ends| *ends > now);
            while upstream.running.len() < upstream.slots {
                let Some(came) = upstream.waiting.pop_front() else {
                    break;
                };
                if now > came + self.patience_ms {
                    self.refused_there += 1;
                    continue;
                }
                upstream.running.push(now + self.random.u64(WORK_MS / 2..WORK_MS * 3 / 2));
                self.in_time += 1;
            }
        }
    }

    fn tell(&mut self) {
        if self.now.is_multiple_of(LOADS_EVERY_MS) {
            let mut waits = Waits::default();
            for (index, upstream) in self.upstreams.iter().enumerate() {
                let lies = self.loads == Loads::OneLies && index == 0;
                let queued = if lies { u32::MAX } else { upstream.waiting.len() as u32 };
                waits.note(queued, upstream.slots as u32, WORK_MS as f64);
            }
            let live = self.upstreams.len() as u32;
            let stopped = matches!(self.loads, Loads::StopAt(at) if self.now >= at);
            let wait = if stopped { None } else { waits.typical(live) };
            self.told.push_back((self.now + LOADS_LATE_MS, wait));
        }
        while self.told.front().is_some_and(|(at, _)| *at <= self.now) {
            self.heard = self.told.pop_front().and_then(|(_, wait)| wait);
        }
    }

    fn call(&mut self) {
        self.came += 1;
        let heard = self.heard;
        let sender = self.random.usize(0..self.senders.len());
        let sender = &mut self.senders[sender];
        let work = Work { urgency: NEW, calls: 1.0, patience_ms: self.patience_ms };
        sender.arrive(SERVICE, work, || heard, self.now);
        if self.random.f64() < sender.refused(SERVICE, NEW) {
            self.refused_here += 1;
            return;
        }
        let (a, b) = (
            self.random.usize(0..self.upstreams.len()),
            self.random.usize(0..self.upstreams.len()),
        );
        let to = if self.upstreams[a].all() <= self.upstreams[b].all() { a } else { b };
        let upstream = &mut self.upstreams[to];
        let turns = (upstream.waiting.len() + 1) as f64 / upstream.slots as f64;
        if upstream.running.len() >= upstream.slots
            && turns * WORK_MS as f64 > self.patience_ms as f64
        {
            self.refused_there += 1;
            return;
        }
        upstream.waiting.push_back(self.now);
    }

    /// What became of the calls since the last look: in time as a part of the capacity, and refused
    /// here and there as parts of those that came.
    fn take(&mut self, over_ms: u64) -> (f64, f64, f64) {
        let in_time = self.in_time as f64 / (self.capacity() * over_ms as f64);
        let part = |count: u64| count as f64 / self.came.max(1) as f64;
        let (here, there) = (part(self.refused_here), part(self.refused_there));
        (self.in_time, self.came, self.refused_here, self.refused_there) = (0, 0, 0, 0);
        (in_time, here, there)
    }

    fn part_refused(&self) -> f64 {
        let all: f64 = self.senders.iter().map(|sender| sender.refused(SERVICE, NEW)).sum();
        all / self.senders.len() as f64
    }
}

#[test]
fn after_a_step_of_load_goodput_is_back_within_two_seconds() {
    let mut report = String::new();
    for (senders, upstreams, slots) in [(30, 10, 12), (100, 30, 12), (300, 100, 6), (2_200, 40, 12)]
    {
        let mut fleet = Fleet::new(senders, upstreams, slots, Loads::Told);
        let before = fleet.play(3_000, |_| 0.9).play(3_000, |_| 0.9).take(6_000).0;
        let during = fleet.play(3_000, |_| 1.5).take(3_000);
        fleet.play(2_000, |_| 0.9).take(2_000);
        let after = fleet.play(3_000, |_| 0.9).take(3_000);
        assert!(after.0 >= before * 0.95, "{senders} senders: {:.3} after {before:.3}", after.0);
        assert!(during.0 >= 0.9, "{senders} senders: {:.3} of the capacity", during.0);
        writeln!(
            report,
            "{senders} senders: before {before:.2}; during {:.2}, refused here {:.2}, there {:.2}; \
             after {:.2}, refused here {:.2}",
            during.0, during.1, during.2, after.0, after.1
        )
        .expect("a string");
    }
    expect![[r#"
        30 senders: before 0.90; during 0.98, refused here 0.27, there 0.04; after 0.90, refused here 0.00
        100 senders: before 0.90; during 0.99, refused here 0.29, there 0.04; after 0.90, refused here 0.00
        300 senders: before 0.90; during 0.98, refused here 0.28, there 0.05; after 0.90, refused here 0.00
        2200 senders: before 0.90; during 0.99, refused here 0.30, there 0.04; after 0.90, refused here 0.00
    "#]].assert_eq(&report);
}

#[test]
fn lasting_overload_is_refused_here_and_steadily() {
    let sizes = [(30, 10, 12), (100, 30, 12), (300, 100, 6), (2_200, 40, 12)];
    let cases = sizes.iter().flat_map(|size| [(size, PATIENCE_MS), (size, SHORT_PATIENCE_MS)]);
    for ((senders, upstreams, slots), patience_ms) in cases {
        let mut fleet = Fleet::new(*senders, *upstreams, *slots, Loads::Told);
        fleet.patience_ms = patience_ms;
        fleet.play(4_000, |_| 1.5).take(4_000);
        let mut parts = Vec::new();
        for _ in 0..40 {
            fleet.play(100, |_| 1.5);
            parts.push(fleet.part_refused());
        }
        let (in_time, here, there) = fleet.take(4_000);
        assert!(in_time > 0.9, "{senders} senders: {in_time:.2} of the capacity in time");
        assert!(there < here, "{senders} senders: {there:.2} refused there, {here:.2} here");
        let (least, most) =
            (parts.iter().copied().fold(1.0, f64::min), parts.iter().copied().fold(0.0, f64::max));
        assert!(most - least < 0.5, "{senders} senders: swings from {least:.2} to {most:.2}");
    }
}

#[test]
fn waves_and_clumps_cost_little_goodput() {
    // A swing of 55% around 0.9 in 15 s; five times the load for 50 ms each half second.
    let wave =
        |now: u64| 0.9 * (1.0 + 0.55 * (now as f64 / 15_000.0 * std::f64::consts::TAU).sin());
    let clumps = |now: u64| if now % 500 < 50 { 4.0 } else { 0.5 };
    let mut fleet = Fleet::new(60, 20, 12, Loads::Told);
    let (waves, ..) = fleet.play(30_000, wave).take(30_000);
    let owed: f64 = (0..30_000).map(|now| wave(now).min(1.0)).sum::<f64>() / 30_000.0;
    assert!(waves > owed * 0.93, "{waves:.3} of {owed:.3}");
    let mut fleet = Fleet::new(60, 20, 12, Loads::Told);
    let (_, here, there) = fleet.play(10_000, clumps).take(10_000);
    assert!(here < 0.12, "{here:.2} refused here, {there:.2} there: on average there is room");
}

#[test]
fn an_upstream_that_lies_does_not_shut_others_off() {
    for upstreams in [3, 20] {
        let mut fleet = Fleet::new(30, upstreams, 12, Loads::OneLies);
        let (_, here, _) = fleet.play(10_000, |_| 0.7).take(10_000);
        assert!(here < 0.05, "one of {upstreams}: {here:.2} refused");
    }
}

#[test]
fn when_no_loads_come_any_more_nothing_is_refused_here() {
    let mut fleet = Fleet::new(30, 10, 12, Loads::StopAt(4_000));
    fleet.play(4_200, |_| 1.5);
    assert!(fleet.part_refused() > 0.2, "{:.2}", fleet.part_refused());
    fleet.play(3_000, |_| 1.5);
    assert!(fleet.part_refused() < 0.02, "{:.2}", fleet.part_refused());
}

fn work(urgency: Urgency, calls: f64) -> Work {
    Work { urgency, calls, patience_ms: PATIENCE_MS }
}

fn waiting(turns: f64) -> Option<Wait> {
    Some(Wait { turns, turn_ms: WORK_MS as f64 })
}

/// A controller at which these calls came and which heard of a wait of one turn for so long.
fn pressed(mix: &[(Urgency, u32)], for_ms: u64) -> EntryControl {
    let mut control = EntryControl::default();
    control.note_lineage();
    for now in (0..=for_ms).step_by(100) {
        for (urgency, calls) in mix {
            control.arrive(SERVICE, work(*urgency, f64::from(*calls)), || waiting(1.0), now);
        }
    }
    control
}

#[test]
fn the_least_urgent_work_is_refused_first() {
    let control = pressed(&[(URGENT, 5), (NEW, 5)], 5_000);
    let of = |control: &EntryControl, urgency| control.refused(SERVICE, urgency);
    assert!(of(&control, NEW) > 0.8 && of(&control, NEW) < 0.9, "{}", of(&control, NEW));
    let urgent = of(&control, URGENT);
    assert!(urgent < 0.25, "{urgent}: what is left of the part of all");
    let control = pressed(&[(URGENT, 2), (NEW, 8)], 5_000);
    assert_eq!(of(&control, URGENT), 0.0);
}

#[test]
fn without_lineage_the_shortest_target_is_spared() {
    let inner = Urgency { rank: 1, target_ms: 100 };
    let mut control = EntryControl::default();
    for now in (0..=5_000).step_by(100) {
        control.arrive(SERVICE, work(inner, 9.0), || waiting(1.0), now);
        control.arrive(SERVICE, work(NEW, 1.0), || waiting(1.0), now);
    }
    assert_eq!(control.refused(SERVICE, inner), 0.0);
    control.note_lineage();
    assert!(control.refused(SERVICE, inner) > 0.3);
}

#[test]
fn an_overload_lasts_once_those_refused_first_are_back() {
    let control = pressed(&[(NEW, 5)], 1_500);
    assert!(!control.is_lasting(SERVICE, 900));
    assert!(control.is_lasting(SERVICE, 1_500));
    assert!(!control.is_lasting("other", 1_500));
}

#[test]
fn odd_waits_are_borne() {
    for wait in [f64::NAN, f64::INFINITY, -5.0, 1e300] {
        let mut control = EntryControl::default();
        for now in (0..5_000).step_by(100) {
            control.arrive(SERVICE, work(NEW, 1.0), || waiting(wait), now);
        }
        let refused = control.refused(SERVICE, NEW);
        assert!((0.0..=0.85).contains(&refused), "{wait}: {refused}");
    }
}
