//! Tests of fair sharing among the tenants of one upstream, in virtual time.

use admission::{Admission, Decision, SlotRequest, TenantKey};
use expect_test::expect;
use std::collections::BTreeMap;
use std::fmt::Write;

const LIMIT: u32 = 12;
const SERVICE_MS: u64 = 100;
const PATIENCE_MS: u64 = 150;

fn key(name: &str) -> Option<TenantKey> {
    Some(TenantKey::of(name.as_bytes()))
}

fn request(job: u64, tenant: Option<TenantKey>) -> SlotRequest {
    SlotRequest {
        job,
        nested: false,
        rank: 1,
        tenant,
        target_ms: 600,
        patience_ms: PATIENCE_MS,
        deadline: 1_000_000,
    }
}

#[test]
fn tenants_of_one_rank_take_turns() {
    let mut admission = Admission::new(2);
    for job in 0..2 {
        assert_eq!(admission.submit(request(job, key("hot")), 0), Decision::Run);
    }
    let waiting: [(u64, Option<TenantKey>); 5] =
        [(10, key("hot")), (11, key("hot")), (12, key("small")), (13, key("small")), (14, None)];
    for (job, tenant) in waiting {
        assert_eq!(admission.submit(request(job, tenant), 1), Decision::Wait, "{job}");
    }
    let urgent = SlotRequest { rank: 0, ..request(15, key("hot")) };
    assert_eq!(admission.submit(urgent, 2), Decision::Wait);
    let nested = SlotRequest { nested: true, rank: 9, ..request(16, None) };
    assert_eq!(admission.submit(nested, 2), Decision::Wait);
    let mut order = Vec::new();
    for _ in 0..7 {
        admission.release(None);
        order.push(admission.start_next(0).expect("some wait"));
    }
    // Nested calls go first, then the rank decides; a call without a tenant does not wait for a turn.
    // The first call of the small tenant goes before the third of the hot one, and its second call has
    // the same turn as that third.
    assert_eq!(order, [16, 15, 14, 12, 10, 13, 11]);
}

#[test]
fn without_tenants_the_order_is_that_of_arrival() {
    for tenant in [None, key("only")] {
        let mut admission = Admission::new(1);
        assert_eq!(admission.submit(request(0, tenant), 0), Decision::Run);
        let patient = |job| SlotRequest { patience_ms: 10_000, ..request(job, tenant) };
        for job in 1..9 {
            assert_eq!(admission.submit(patient(job), 0), Decision::Wait);
        }
        for job in 1..9 {
            admission.release(None);
            assert_eq!(admission.start_next(0), Some(job));
        }
    }
}

#[test]
fn what_was_never_run_costs_no_turn() {
    let mut admission = Admission::new(1);
    assert_eq!(admission.submit(request(0, key("other")), 0), Decision::Run);
    let patient = |job, tenant| SlotRequest { patience_ms: 10_000, ..request(job, key(tenant)) };
    // Three calls of one tenant are cancelled, three expire, and others are refused.
    for job in 1..4 {
        assert_eq!(admission.submit(patient(job, "a"), 0), Decision::Wait);
        assert!(admission.cancel(job));
        assert_eq!(
            admission.submit(SlotRequest { deadline: 9, ..patient(job, "a") }, 0),
            Decision::Wait
        );
        assert_eq!(admission.expire(10), [job]);
        let impatient = SlotRequest { patience_ms: 0, ..patient(job, "a") };
        assert!(matches!(admission.submit(impatient, 20), Decision::Refuse { .. }));
    }
    for (job, tenant) in [(20, "b"), (21, "b"), (10, "a"), (11, "a")] {
        assert_eq!(admission.submit(patient(job, tenant), 30), Decision::Wait);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        admission.release(None);
        order.push(admission.start_next(0).expect("some wait"));
    }
    assert_eq!(order, [20, 10, 21, 11]);
}

#[test]
fn a_tenant_that_was_alone_is_not_held_to_it() {
    let mut admission = Admission::new(1);
    for job in 0..1_000 {
        assert_eq!(admission.submit(request(job, key("a")), 0), Decision::Run);
        admission.release(None);
    }
    let patient = |job, tenant| SlotRequest { patience_ms: 10_000, ..request(job, key(tenant)) };
    assert_eq!(admission.submit(patient(1_000, "a"), 0), Decision::Run);
    for (job, tenant) in [(1, "a"), (2, "b"), (3, "a"), (4, "b"), (5, "b")] {
        assert_eq!(admission.submit(patient(job, tenant), 0), Decision::Wait);
    }
    let mut order = Vec::new();
    for _ in 0..5 {
        admission.release(None);
        order.push(admission.start_next(0).expect("some wait"));
    }
    assert_eq!(order, [2, 1, 4, 3, 5]);
}

#[test]
fn many_tenants_and_ranks_are_borne() {
    for ranks in [1, 20_000] {
        let mut admission = Admission::new(1);
        for number in 0..20_000_u64 {
            let tenant = key(&number.to_string());
            let request = SlotRequest { rank: (number % ranks) as u32, ..request(number, tenant) };
            assert_eq!(admission.submit(request, 0), Decision::Run, "{number}");
            admission.release(None);
        }
        let length = format!("{admission:?}").len();
        assert!(length < 50_000, "{ranks} ranks: its debug output has {length} characters");
    }
}

/// Simulates 20 s at an upstream that serves 120 calls per second, with the given calls per second of
/// each tenant. Returns the requested and the served calls of each.
fn served(requested: &[(&str, u64)]) -> BTreeMap<String, (u64, u64)> {
    let mut random = fastrand::Rng::with_seed(7);
    let mut admission = Admission::new(LIMIT);
    let mut counts: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let mut names = BTreeMap::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    for now in 0..20_000 {
        running.retain(|(job, end)| {
            let ended = *end <= now;
            if ended {
                let name: &String = &names[job];
                counts.get_mut(name).expect("asked").1 += 1;
                admission.release(Some(SERVICE_MS));
            }
            !ended
        });
        admission.expire(now);
        let mut started = Vec::new();
        for (name, per_second) in requested {
            if random.u64(0..1_000) < *per_second {
                let job = names.len() as u64;
                names.insert(job, (*name).to_owned());
                counts.entry((*name).to_owned()).or_default().0 += 1;
                if admission.submit(request(job, key(name)), now) == Decision::Run {
                    started.push(job);
                }
            }
        }
        while let Some(job) = admission.start_next(0) {
            started.push(job);
        }
        running.extend(started.into_iter().map(|job| (job, now + SERVICE_MS)));
        assert!(running.len() <= LIMIT as usize);
    }
    counts
}

#[test]
fn a_hot_tenant_takes_nothing_that_others_ask_for() {
    let rows: [(&str, &[(&str, u64)]); 4] = [
        ("capacity for all", &[("hot", 60), ("b", 20), ("c", 20)]),
        ("hot sends seven times its usual load", &[("hot", 400), ("b", 20), ("c", 30), ("d", 10)]),
        ("two are hot", &[("hot", 400), ("hotter", 800), ("c", 30), ("d", 10)]),
        ("all request more than the capacity", &[("hot", 400), ("b", 100), ("c", 100)]),
    ];
    let mut text = String::new();
    for (name, requested) in rows {
        write!(text, "{name}:").expect("text grows");
        for (tenant, (requested, served)) in served(requested) {
            write!(text, " {tenant} {served} of {requested};").expect("text grows");
        }
        text.push('\n');
    }
    expect![[r#"
        capacity for all: b 406 of 406; c 433 of 439; hot 1158 of 1168;
        hot sends seven times its usual load: b 412 of 419; c 595 of 618; d 177 of 178; hot 1204 of 7918;
        two are hot: c 554 of 618; d 176 of 178; hot 830 of 7918; hotter 828 of 15924;
        all request more than the capacity: b 795 of 2037; c 795 of 2057; hot 798 of 7901;
    "#]].assert_eq(&text);
}
