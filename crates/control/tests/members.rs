//! Changes of a group's members as an operator orders them.

use consensus::{Config, Membership, Snapshot, SnapshotMeta};
use control::{change_group, GroupChange, Replica, ReplicaParameters, RequestError, StateMachine};
use std::path::PathBuf;
use std::time::Duration;
use storage::MemoryStore;

/// State machine without a state.
struct Nothing;

impl StateMachine for Nothing {
    type Command = u64;
    type Answer = u64;

    fn apply(&mut self, _: u64, command: &u64) -> u64 {
        *command
    }

    fn encode(&self) -> Vec<u8> {
        Vec::new()
    }

    fn decode(_: &[u8]) -> Result<Self, speedy::Error> {
        Ok(Nothing)
    }
}

/// A member of a group of three that reaches none of the others.
fn cut_off_replica() -> Replica<Nothing> {
    let membership = Membership::of_voters([1, 2, 3]);
    let meta = SnapshotMeta { index: 0, term: 0, membership: membership.clone() };
    let mut store = MemoryStore::new(Snapshot { meta, data: Vec::new() });
    let recovered = store.recover();
    let parameters = ReplicaParameters {
        group: "nothing".to_owned(),
        folder: PathBuf::new(),
        consensus: Config { id: 1, election_ticks: 5, heartbeat_ticks: 1, seed: 1, weakness: None },
        initial: membership,
        tick: Duration::from_millis(5),
        checkpoint_bytes: 1 << 20,
    };
    Replica::start_with_store(store, recovered, parameters, |_| {}).expect("it starts")
}

/// Guards against a replica that confirms a change from its own log, which may be old: an operator was
/// told that a member is removed, or votes, by one that nobody else heard.
#[test]
fn a_replica_that_is_cut_off_confirms_no_change() {
    let replica = cut_off_replica();
    for change in [GroupChange::Remove(4), GroupChange::AddLearner(2), GroupChange::Promote(4)] {
        let result = change_group(&replica, change);
        let is_refused = matches!(result, Err(RequestError::NotLeader { .. }));
        assert!(is_refused, "{change:?}: {result:?}");
    }
}
