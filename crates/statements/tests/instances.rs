//! What a sender remembers of upstreams.

use mesh::{CallRate, Incarnation, LimitReport};
use statements::{InstanceStatements, StatementReport, Statements};

fn incarnation(id: &str, born_ms: u64) -> Incarnation {
    Incarnation { id: id.to_owned(), born_ms }
}

fn limited(per_s: f64) -> StatementReport {
    let rate = CallRate::from_per_s(per_s).expect("a rate");
    StatementReport { rate_limit: Some(LimitReport::Limited(rate)), leaving: false }
}

const LEAVING: StatementReport = StatementReport { rate_limit: None, leaving: true };
const LIFTED: StatementReport =
    StatementReport { rate_limit: Some(LimitReport::Lifted), leaving: false };

fn rate_of(held: &InstanceStatements, of: &Incarnation) -> Option<f64> {
    held.of(of).rate_limit.map(CallRate::per_s)
}

#[test]
fn a_statement_belongs_to_one_incarnation() {
    let (first, second) = (incarnation("i-1", 100), incarnation("i-1", 200));
    let mut held = InstanceStatements::default();
    assert!(held.note(&first, limited(2.0), 0, 10));
    assert!(held.note(&first, LEAVING, 0, 20));
    assert_eq!(held.of(&second), Statements::default(), "a later start has stated nothing");
    assert_eq!(held.of(&incarnation("i-2", 0)), Statements::default());
    assert!(held.note(&second, limited(7.0), 30, 40));
    assert_eq!(rate_of(&held, &second), Some(7.0));
    assert!(!held.note(&first, limited(2.0), 5, 50), "a late reply of the earlier start");
    assert_eq!(rate_of(&held, &second), Some(7.0));
    assert!(!held.of(&second).leaving);
}

#[test]
fn leaving_is_final_and_a_limit_is_not() {
    let upstream = incarnation("i-1", 0);
    let mut held = InstanceStatements::default();
    held.note(&upstream, LEAVING, 0, 10);
    held.note(&upstream, limited(2.0), 11, 20);
    assert!(!held.note(&upstream, StatementReport::default(), 21, 30), "nothing told");
    assert_eq!(rate_of(&held, &upstream), Some(2.0));
    assert!(held.note(&upstream, LIFTED, 31, 40));
    assert_eq!(held.of(&upstream), Statements { rate_limit: None, leaving: true });
}

#[test]
fn the_oldest_are_forgotten_when_there_are_too_many() {
    let mut held = InstanceStatements::default();
    for number in 0..5_000_u64 {
        held.note(&incarnation(&format!("i-{number}"), 0), LEAVING, number, number);
    }
    assert!(!held.of(&incarnation("i-0", 0)).leaving);
    assert!(held.of(&incarnation("i-4999", 0)).leaving);
    let remembered =
        (0..5_000).filter(|number| held.of(&incarnation(&format!("i-{number}"), 0)).leaving);
    assert_eq!(remembered.count(), 4_096);
}
