//! Which of several answers decides on the limit in force.

use expect_test::expect;
use mesh::CallRate;
use statements::{RateStatement, StatedRate};
use std::fmt::Write;

fn limited(per_s: f64) -> RateStatement {
    RateStatement::Limited(CallRate::from_per_s(per_s).expect("a rate"))
}

/// An answer: what it states, when its request was sent, and when it arrived.
type Answer = (RateStatement, u64, u64);

fn in_force(answers: &[Answer]) -> Option<f64> {
    let mut stated = StatedRate::default();
    for (statement, sent_at, now) in answers {
        stated.note(*statement, *sent_at, *now);
    }
    stated.rate().map(CallRate::per_s)
}

#[test]
fn a_stricter_statement_counts_as_it_arrives_and_a_looser_one_only_if_it_is_surely_newer() {
    use RateStatement::{Invalid, Unlimited};
    let rows: [(&str, &[Answer]); 11] = [
        ("first named", &[(limited(5.0), 0, 100)]),
        ("lowered", &[(limited(5.0), 0, 100), (limited(2.0), 50, 110)]),
        ("raised by a request sent later", &[(limited(2.0), 0, 100), (limited(5.0), 100, 200)]),
        ("raised by an answer that was slow", &[(limited(2.0), 0, 100), (limited(5.0), 99, 200)]),
        ("lifted by a request sent later", &[(limited(2.0), 0, 100), (Unlimited, 101, 200)]),
        ("lifted by an answer that was slow", &[(limited(2.0), 0, 100), (Unlimited, 20, 200)]),
        (
            "lifted by an answer sent before the limit was last stated",
            &[(limited(2.0), 0, 100), (limited(2.0), 50, 160), (Unlimited, 120, 200)],
        ),
        (
            "stated again after it was lifted",
            &[(limited(2.0), 0, 100), (Unlimited, 101, 200), (limited(2.0), 150, 210)],
        ),
        ("invalid", &[(limited(2.0), 0, 100), (Invalid, 101, 200)]),
        ("invalid from the start", &[(Invalid, 0, 100)]),
        ("none takes nothing", &[(limited(0.0), 0, 100), (limited(0.2), 50, 120)]),
    ];
    let mut text = String::new();
    for (name, answers) in rows {
        writeln!(text, "{name}: {:?}", in_force(answers)).expect("written");
    }
    expect![[r#"
        first named: Some(5.0)
        lowered: Some(2.0)
        raised by a request sent later: Some(5.0)
        raised by an answer that was slow: Some(2.0)
        lifted by a request sent later: None
        lifted by an answer that was slow: Some(2.0)
        lifted by an answer sent before the limit was last stated: Some(2.0)
        stated again after it was lifted: Some(2.0)
        invalid: Some(2.0)
        invalid from the start: None
        none takes nothing: Some(0.0)
    "#]]
    .assert_eq(&text);
}

#[test]
fn what_another_process_knows_counts_until_the_first_answer() {
    let rate = |per_s| CallRate::from_per_s(per_s).expect("a rate");
    let mut stated = StatedRate::default();
    assert!(stated.adopt(rate(5.0)));
    assert!(!stated.adopt(rate(8.0)), "the strictest that anyone knows counts");
    assert!(stated.adopt(rate(2.0)));
    assert!(stated.note(RateStatement::Unlimited, 10, 60), "the upstream itself says otherwise");
    assert!(!stated.adopt(rate(2.0)), "what others know is older");
    assert_eq!(stated.rate(), None);
}
