//! Evidence that is lost, repeated, late or of another canary.

use canary::Evidence;
use mesh::{CallClass, ClassEvidence, ClassOutcomes, NodeAddress, VersionEvidence};
use std::net::Ipv4Addr;

const CLASS: CallClass = CallClass { rank: 1, target_ms: 600 };

fn node(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn told(run: u64, version: &str, failed: u32) -> VersionEvidence {
    let outcomes = ClassOutcomes { failed, answered: vec![0, 0, failed] };
    VersionEvidence {
        run,
        service: "fares".to_owned(),
        version: version.to_owned(),
        classes: vec![ClassEvidence { class: CLASS, outcomes }],
    }
}

#[test]
fn sums_survive_loss_repetition_and_late_news() {
    let mut evidence = Evidence::new(4, "v2");
    for failed in [1, 5, 5, 3] {
        evidence.record(node(1), 1, &told(4, "v2", failed));
    }
    assert_eq!(evidence.whole().candidate_ended(), 10);
}

#[test]
fn a_sidecar_that_started_again_counts_beside_its_former_life() {
    let mut evidence = Evidence::new(4, "v2");
    evidence.record(node(1), 1, &told(4, "v2", 5));
    evidence.record(node(1), 2, &told(4, "v2", 2));
    assert_eq!(evidence.whole().candidate_ended(), 14);
}

#[test]
fn other_canaries_and_versions_are_told_apart() {
    let mut evidence = Evidence::new(4, "v2");
    evidence.record(node(1), 1, &told(3, "v2", 5));
    evidence.record(node(2), 1, &told(4, "v1", 5));
    assert_eq!(evidence.whole().candidate_ended(), 0);
    assert_eq!(evidence.whole().stable.len(), 1);
}

#[test]
fn the_recent_past_leaves_out_what_was_before() {
    let mut evidence = Evidence::new(4, "v2");
    for second in 0..10 {
        evidence.record(node(1), 1, &told(4, "v2", second as u32));
        evidence.take_snapshot(second * 1_000);
    }
    // From 6 s on.
    assert_eq!(evidence.recent().candidate_ended(), 6);
}

#[test]
fn endless_classes_and_upstreams_are_bounded() {
    let mut evidence = Evidence::new(4, "v2");
    let class = |rank| ClassEvidence {
        class: CallClass { rank, target_ms: 1 },
        outcomes: ClassOutcomes { failed: 1, answered: Vec::new() },
    };
    let many = VersionEvidence { classes: (0..10_000).map(class).collect(), ..told(4, "v2", 0) };
    for life in 0..10_000 {
        evidence.record(node(1), life, &told(4, "v2", 1));
    }
    evidence.record(node(1), 0, &many);
    assert!(evidence.whole().candidate.len() <= 8_192);
    assert!(evidence.whole().candidate_ended() < 20_000);
}
