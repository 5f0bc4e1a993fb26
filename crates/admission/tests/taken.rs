//! Tests of `UntrackedSlots`: slots occupied by requests that the sidecar does not track.

use admission::UntrackedSlots;

#[test]
fn what_the_upstream_has_beyond_what_it_was_given_takes_slots() {
    // Requests reported by the upstream, requests sent by this sidecar, and the slots available of 12
    // at once, after 299 ms and after 300 ms.
    let rows = [
        ("as many as were sent", 7, 7, [12, 12, 12]),
        ("fewer: some are in transit", 4, 7, [12, 12, 12]),
        ("two aborted calls are still processed", 9, 7, [10, 10, 12]),
        ("the sidecar restarted, the upstream did not", 5, 0, [7, 7, 12]),
        ("more than is possible", 4_000_000, 3, [6, 6, 12]),
        ("the highest value that can be reported", u32::MAX, 0, [6, 6, 12]),
    ];
    for (name, reported, sent, expected) in rows {
        let mut untracked = UntrackedSlots::default();
        untracked.note(reported, sent, 1_000);
        let available = [1_000, 1_299, 1_300].map(|at| untracked.available_of(12, at));
        assert_eq!(available, expected, "{name}");
        // The next response shows that these requests have ended.
        untracked.note(sent, sent, 1_010);
        assert_eq!(untracked.available_of(12, 1_010), 12, "{name}");
    }
    let mut untracked = UntrackedSlots::default();
    untracked.note(9, 0, 0);
    assert_eq!(untracked.available_of(1, 0), 1, "one slot is always available");
}
