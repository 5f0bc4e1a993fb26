//! How long ago a call was begun, by what callers tell.

use expect_test::expect;
use placement::CallerPatience;

const ROUTE: &str = "quotes";

fn begun(told: &[u64]) -> Vec<u64> {
    let mut patience = CallerPatience::default();
    told.iter().map(|told_ms| patience.note(ROUTE, *told_ms)).collect()
}

#[test]
fn one_that_tells_less_than_the_others_was_begun_before() {
    let rows: [(&str, &[u64]); 6] = [
        ("all alike", &[2_500, 2_500, 2_490]),
        ("one came back", &[2_500, 2_500, 1_300, 2_500]),
        ("the first ones came back", &[1_300, 900, 2_500, 2_500, 1_300]),
        ("one waits longer than the others", &[2_500, 2_500, 2_500, 9_000, 2_500, 1_300]),
        ("most come back, each after another time", &[2_500, 2_500, 1_900, 1_400, 2_500, 1_100]),
        ("nothing told", &[0, 0, 2_500, 0]),
    ];
    let seen: String =
        rows.iter().map(|(name, told)| format!("{name}: {:?}\n", begun(told))).collect();
    expect![[r#"
        all alike: [0, 0, 0]
        one came back: [0, 0, 1200, 0]
        the first ones came back: [0, 400, 0, 0, 1200]
        one waits longer than the others: [0, 0, 0, 0, 0, 1200]
        most come back, each after another time: [0, 0, 600, 1100, 0, 1400]
        nothing told: [0, 0, 0, 2500]
    "#]].assert_eq(&seen);
}

#[test]
fn another_usual_time_is_learned() {
    let mut patience = CallerPatience::default();
    for _ in 0..100 {
        patience.note(ROUTE, 2_500);
    }
    let calls = (1..).find(|_| patience.note(ROUTE, 1_000) == 0);
    assert!(calls.is_some_and(|calls| calls < 50), "{calls:?}");
}
