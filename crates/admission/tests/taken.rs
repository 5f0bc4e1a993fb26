//! Slots that are taken by what the sender does not know of.

use admission::UntrackedSlots;

#[test]
fn what_the_upstream_has_beyond_what_it_was_given_takes_slots() {
    // Told by the upstream, given by this side, slots left of twelve at once and after 299 and 300 ms.
    let rows = [
        ("as given", 7, 7, [12, 12, 12]),
        ("fewer: some are on their way", 4, 7, [12, 12, 12]),
        ("two runs were cut and go on", 9, 7, [10, 10, 12]),
        ("this side began anew, the upstream did not", 5, 0, [7, 7, 12]),
        ("more than can be", 4_000_000, 3, [6, 6, 12]),
        ("all that can be told", u32::MAX, 0, [6, 6, 12]),
    ];
    for (name, told, own, expected) in rows {
        let mut taken = UntrackedSlots::default();
        taken.note(told, own, 1_000);
        let left = [1_000, 1_299, 1_300].map(|at| taken.available_of(12, at));
        assert_eq!(left, expected, "{name}");
        // The next answer shows that it is over.
        taken.note(own, own, 1_010);
        assert_eq!(taken.available_of(12, 1_010), 12, "{name}");
    }
    let mut taken = UntrackedSlots::default();
    taken.note(9, 0, 0);
    assert_eq!(taken.available_of(1, 0), 1, "one slot is always left");
}
