//! The sample of calls that are logged in full, and the rate limit for log lines.

use sidecar::{LogRateLimit, LogSample};

#[test]
fn about_one_of_so_many_is_taken_and_every_node_takes_the_same() {
    for one_of in [4, 16] {
        let sample = LogSample::new(one_of);
        let ids = (0..20_000).map(|number| format!("{number:016x}"));
        let taken =
            ids.filter(|id| sample.includes(id) && LogSample::new(one_of).includes(id)).count();
        let expected = 20_000 / one_of as usize;
        assert!(taken.abs_diff(expected) < expected / 4, "1 of {one_of}: {taken}");
    }
    assert!(LogSample::new(1).includes("anything"));
}

#[test]
fn a_flood_gets_a_few_lines_each_second() {
    let mut limit = LogRateLimit::new(3);
    let mut taken = |now| (0..1_000).filter(|_| limit.allows(now)).count();
    assert_eq!((taken(0), taken(999), taken(1_000), taken(5_500)), (3, 0, 3, 3));
}
