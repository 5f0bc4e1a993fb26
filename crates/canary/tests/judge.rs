//! What is concluded from the calls of a few upstreams, case by case.

use canary::{judge, Evidence, Verdict};
use expect_test::expect;
use mesh::{CallClass, ClassEvidence, ClassOutcomes, NodeAddress, VersionEvidence};
use std::fmt::Write;
use std::net::Ipv4Addr;

const RUN: u64 = 3;
const USUAL_MS: u64 = 100;
const SLOW_MS: u64 = 900;
const OFTEN: CallClass = CallClass { rank: 2, target_ms: 600 };
const RARE: CallClass = CallClass { rank: 1, target_ms: 1_000 };

/// Calls at one upstream: failed, slow, fine.
type Outcomes = (u32, u32, u32);

/// What each upstream of a version showed, by class.
type Told = Vec<Vec<(CallClass, Outcomes)>>;

fn often(upstreams: &[Outcomes]) -> Told {
    upstreams.iter().map(|outcomes| vec![(OFTEN, *outcomes)]).collect()
}

/// As many upstreams, each of which showed the same.
fn alike(count: usize, classes: &[(CallClass, Outcomes)]) -> Told {
    vec![classes.to_vec(); count]
}

fn tell(evidence: &mut Evidence, version: &str, network: u8, told: &Told) {
    for (host, classes) in told.iter().enumerate() {
        let of_class = |(class, (failed, slow, fine)): &(CallClass, Outcomes)| {
            let mut outcomes = ClassOutcomes { failed: *failed, ..ClassOutcomes::default() };
            (0..*slow).for_each(|_| outcomes.note_answered(SLOW_MS));
            (0..*fine).for_each(|_| outcomes.note_answered(USUAL_MS));
            ClassEvidence { class: *class, outcomes }
        };
        let told = VersionEvidence {
            run: RUN,
            service: "fares".to_owned(),
            version: version.to_owned(),
            classes: classes.iter().map(of_class).collect(),
        };
        let ip = Ipv4Addr::new(10, 0, network, host as u8);
        evidence.record(NodeAddress { ip, port: 8_300 }, 1, &told);
    }
}

fn verdict(candidate: &Told, stable: &Told) -> &'static str {
    let mut evidence = Evidence::new(RUN, "v2");
    tell(&mut evidence, "v2", 2, candidate);
    tell(&mut evidence, "v1", 1, stable);
    match judge(evidence.whole(), &evidence.recent()).verdict {
        Verdict::Sound => "sound",
        Verdict::Unclear => "unclear",
        Verdict::Doubtful(_) => "doubtful",
        Verdict::Bad(_) => "bad",
    }
}

#[test]
fn ill_upstreams_are_told_from_a_flaw() {
    let well = alike(4, &[(OFTEN, (2, 2, 196))]);
    let one_ill = often(&[(90, 2, 108), (2, 2, 196), (2, 2, 196), (2, 2, 196)]);
    let cases: [(&str, Told, &Told); 10] = [
        ("no calls", Vec::new(), &well),
        ("as usual", alike(4, &[(OFTEN, (0, 0, 20))]), &well),
        ("all fail half", alike(4, &[(OFTEN, (10, 0, 10))]), &well),
        ("all are slow", alike(4, &[(OFTEN, (0, 10, 10))]), &well),
        ("one of four ill", often(&[(9, 0, 11), (0, 0, 20), (0, 0, 20), (0, 0, 20)]), &well),
        (
            "the same, beside one",
            often(&[(9, 0, 11), (0, 0, 20), (0, 0, 20), (0, 0, 20)]),
            &one_ill,
        ),
        ("three of four ill", often(&[(9, 0, 11), (9, 0, 11), (9, 0, 11), (0, 0, 20)]), &well),
        ("four bad answers", alike(4, &[(OFTEN, (1, 0, 0))]), &well),
        ("as bad as usual", alike(4, &[(OFTEN, (6, 0, 14))]), &alike(4, &[(OFTEN, (60, 0, 140))])),
        ("nothing to compare", alike(4, &[(OFTEN, (0, 0, 20))]), &Vec::new()),
    ];
    let mut table = String::new();
    for (name, candidate, stable) in &cases {
        let _ = writeln!(table, "{name:<22} {}", verdict(candidate, stable));
    }
    expect![[r#"
        no calls               unclear
        as usual               sound
        all fail half          bad
        all are slow           bad
        one of four ill        sound
        the same, beside one   sound
        three of four ill      bad
        four bad answers       doubtful
        as bad as usual        sound
        nothing to compare     sound
    "#]]
    .assert_eq(&table);
}

#[test]
fn a_flaw_of_a_rare_class_is_not_held_against_slow_answers_of_others() {
    let stable = alike(22, &[(OFTEN, (2, 10, 170)), (RARE, (0, 1, 19))]);
    let rare = |failed: u32| {
        let mut told = alike(22, &[(OFTEN, (0, 0, 8))]);
        for upstream in told.iter_mut().take(18) {
            upstream.push((RARE, (0, 0, 1)));
        }
        for upstream in told.iter_mut().take(failed as usize) {
            upstream[1].1 = (1, 0, 0);
        }
        told
    };
    let verdicts = [0, 3, 5, 8, 11].map(|failed| (failed, verdict(&rare(failed), &stable)));
    expect![[r#"
        [
            (
                0,
                "sound",
            ),
            (
                3,
                "doubtful",
            ),
            (
                5,
                "bad",
            ),
            (
                8,
                "bad",
            ),
            (
                11,
                "bad",
            ),
        ]
    "#]]
    .assert_debug_eq(&verdicts);
}
