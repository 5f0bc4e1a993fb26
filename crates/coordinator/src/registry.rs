//! Sidecars and their upstreams, as reported under a lease; soft state, pure.
//!
//! A sidecar counts as heard directly while its own link brings signs of life. One that is only
//! cut off from this coordinator stays listed for as long as another coordinator vouches for it.

use crate::Millis;
use mesh::{HeardNode, Incarnation, InstanceState, NodeAddress, NodeRecord, RegistryEntry};
use std::collections::{BTreeMap, VecDeque};
use tracing::info;

/// Ends of incarnations remembered.
const MARKS_KEPT: usize = 4_096;
/// Departures remembered for readers that are behind; one further behind gets the whole.
const GONE_KEPT: usize = 1_024;
/// How long the last record of a sidecar that is gone is kept for its return, milliseconds.
const LAST_RECORD_MS: u64 = 60_000;

#[derive(Clone, Debug)]
struct Held {
    record: NodeRecord,
    /// When the record came; what it says of the time left in which its upstream is cold counts from
    /// then on.
    told_at: Millis,
    /// Last sign of life, its own or one that another coordinator vouched for.
    heard_at: Millis,
    /// Last sign of life on a link of its own.
    heard_directly_at: Option<Millis>,
    changed_at: u64,
}

impl Held {
    /// The record as it would be told now.
    fn aged(&self, now: Millis) -> NodeRecord {
        aged(self.record.clone(), self.told_at, now)
    }

    fn is_heard_directly(&self, limit_ms: u64, now: Millis) -> bool {
        self.heard_directly_at.is_some_and(|at| now < at + limit_ms)
    }
}

/// What changed since a reader's position.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChanges {
    /// The new position.
    pub position: u64,
    /// Whether nodes not listed are gone.
    pub whole: bool,
    /// New or changed records.
    pub changed: Vec<NodeRecord>,
    /// Nodes that are gone.
    pub gone: Vec<NodeAddress>,
}

/// All sidecars known to one coordinator.
#[derive(Clone, Debug)]
pub struct Registry {
    lease_ms: u64,
    /// The newest time that it was told of.
    now: Millis,
    position: u64,
    nodes: BTreeMap<NodeAddress, Held>,
    gone: VecDeque<(u64, NodeAddress)>,
    last: BTreeMap<NodeAddress, (NodeRecord, Millis)>,
    marks: VecDeque<(Incarnation, InstanceState)>,
}

impl Registry {
    /// An empty registry.
    pub fn new(lease_ms: u64) -> Self {
        Registry {
            lease_ms,
            now: 0,
            position: 0,
            nodes: BTreeMap::new(),
            gone: VecDeque::new(),
            last: BTreeMap::new(),
            marks: VecDeque::new(),
        }
    }

    /// What was last known of a node, with all marks.
    pub fn last_record(&self, address: &NodeAddress) -> Option<NodeRecord> {
        let held = self.nodes.get(address).map(|held| (&held.record, held.told_at));
        let held = held.filter(|(record, _)| record.instance.is_some());
        let last = self.last.get(address).map(|(record, told_at)| (record, *told_at));
        let (record, told_at) = held.or(last)?;
        let mut record = aged(record.clone(), told_at, self.now);
        self.apply_marks(&mut record);
        Some(record)
    }

    /// Takes in a report; true if it changed what others should know.
    pub fn report(&mut self, mut record: NodeRecord, now: Millis) -> bool {
        self.now = self.now.max(now);
        self.apply_marks(&mut record);
        self.keep_mark(&record);
        if record.instance.is_some() {
            self.last.insert(record.address, (record.clone(), now));
        }
        if let Some(held) = self.nodes.get_mut(&record.address) {
            held.heard_at = now;
            held.heard_directly_at = Some(now);
            let older =
                held.record.boot_id == record.boot_id && held.record.sequence >= record.sequence;
            if older {
                return false;
            }
        }
        self.hold(record, now, now, Some(now));
        true
    }

    fn hold(
        &mut self,
        record: NodeRecord,
        told_at: Millis,
        heard_at: Millis,
        heard_directly_at: Option<Millis>,
    ) {
        self.position += 1;
        let address = record.address;
        let changed_at = self.position;
        let held = Held { record, told_at, heard_at, heard_directly_at, changed_at };
        self.nodes.insert(address, held);
        self.gone.retain(|(_, gone)| *gone != address);
    }

    /// Takes in what another coordinator hears; true if it changed what readers should know. A
    /// record that is heard directly here, or was heard later here, is never replaced by another
    /// life's: lives have no order of their own.
    pub fn vouch(&mut self, heard: HeardNode, now: Millis) -> bool {
        self.now = self.now.max(now);
        let heard_at = now.saturating_sub(u64::from(heard.silent_ms));
        if heard_at + self.lease_ms < now {
            return false;
        }
        let mut record = heard.record;
        self.apply_marks(&mut record);
        let unheard_ms = self.unheard_ms();
        let mut heard_directly_at = None;
        if let Some(held) = self.nodes.get_mut(&record.address) {
            let same_life = held.record.boot_id == record.boot_id;
            let later_here = held.heard_at >= heard_at;
            if !same_life && (later_here || held.is_heard_directly(unheard_ms, now)) {
                return false;
            }
            held.heard_at = held.heard_at.max(heard_at);
            if same_life {
                heard_directly_at = held.heard_directly_at;
                if held.record.sequence >= record.sequence {
                    return false;
                }
            }
        }
        self.keep_mark(&record);
        if record.instance.is_some() {
            self.last.insert(record.address, (record.clone(), now));
        }
        self.hold(record, now, heard_at, heard_directly_at);
        true
    }

    /// Time without a sign of life of its own after which others are asked for a sidecar.
    fn unheard_ms(&self) -> u64 {
        self.lease_ms / 2
    }

    /// Versions of the sidecars that are heard directly here.
    pub fn heard_entries(&self, now: Millis) -> impl Iterator<Item = RegistryEntry> + '_ {
        let limit_ms = self.unheard_ms();
        let heard = self.nodes.values().filter(move |held| held.is_heard_directly(limit_ms, now));
        heard.map(|held| RegistryEntry::of(&held.record))
    }

    /// Whether the record of this version, which another coordinator hears, is lacking here. What is
    /// heard directly here is told by the sidecar itself.
    pub fn lacks(&self, entry: &RegistryEntry, now: Millis) -> bool {
        let Some(held) = self.nodes.get(&entry.address) else {
            return true;
        };
        match held.record.boot_id == entry.boot_id {
            true => held.record.sequence < entry.sequence,
            false => !held.is_heard_directly(self.unheard_ms(), now),
        }
    }

    /// Notes that another coordinator heard a sidecar within half a lease.
    pub fn renew(&mut self, entry: &RegistryEntry, now: Millis) {
        let heard_at = now.saturating_sub(self.unheard_ms());
        if let Some(held) = self.nodes.get_mut(&entry.address) {
            if held.record.boot_id == entry.boot_id {
                held.heard_at = held.heard_at.max(heard_at);
            }
        }
    }

    /// Removes a sidecar that nobody hears any more, if it said that it stops; true if it did.
    pub fn forget_stopped(&mut self, address: &NodeAddress, now: Millis) -> bool {
        let limit_ms = self.unheard_ms();
        let over = |held: &Held| held.record.stopping && !held.is_heard_directly(limit_ms, now);
        let stopped = self.nodes.get(address).is_some_and(over);
        if stopped {
            info!(node = %address, "node_left");
            self.remove(*address);
        }
        stopped
    }

    /// Those of some sidecars that are heard directly here.
    pub fn heard(&self, nodes: &[NodeAddress], now: Millis) -> Vec<HeardNode> {
        nodes.iter().filter_map(|address| self.heard_directly(address, now)).collect()
    }

    fn heard_directly(&self, address: &NodeAddress, now: Millis) -> Option<HeardNode> {
        let held = self.nodes.get(address)?;
        let at = held.heard_directly_at.filter(|at| now < at + self.unheard_ms())?;
        let silent_ms = now.saturating_sub(at) as u32;
        Some(HeardNode { record: held.aged(now), silent_ms })
    }

    /// Notes a sign of life.
    pub fn alive(&mut self, address: &NodeAddress, boot_id: u64, now: Millis) {
        if let Some(held) =
            self.nodes.get_mut(address).filter(|held| held.record.boot_id == boot_id)
        {
            held.heard_at = now;
            held.heard_directly_at = Some(now);
        }
    }

    /// Notes that the connection of one life of a node ended; true if that makes it gone.
    pub fn disconnected(&mut self, address: &NodeAddress, boot_id: u64) -> bool {
        let Some(held) = self.nodes.get_mut(address).filter(|held| held.record.boot_id == boot_id)
        else {
            return false;
        };
        held.heard_directly_at = None;
        let stopping = held.record.stopping;
        if stopping {
            info!(node = %address, "node_left");
            self.remove(*address);
        }
        stopping
    }

    /// Removes the nodes whose lease ended; true if there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        self.now = self.now.max(now);
        let ended = |held: &Held| held.heard_at + self.lease_ms < now;
        let late: Vec<NodeAddress> =
            self.nodes.iter().filter(|(_, held)| ended(held)).map(|(key, _)| *key).collect();
        for address in &late {
            let silent_ms = self.nodes.get(address).map(|held| now.saturating_sub(held.heard_at));
            info!(node = %address, ?silent_ms, lease_ms = self.lease_ms, "node_lease_ended");
            self.remove(*address);
        }
        self.last.retain(|_, (_, kept)| now < *kept + LAST_RECORD_MS);
        !late.is_empty()
    }

    fn remove(&mut self, address: NodeAddress) {
        self.nodes.remove(&address);
        self.position += 1;
        self.gone.push_back((self.position, address));
        if self.gone.len() > GONE_KEPT {
            self.gone.pop_front();
        }
    }

    fn apply_marks(&self, record: &mut NodeRecord) {
        let Some(instance) = &mut record.instance else {
            return;
        };
        let incarnation = instance.incarnation();
        let mark = self.marks.iter().find(|(marked, _)| marked.may_equal(&incarnation));
        if let Some((_, state)) = mark {
            instance.state = instance.state.max(*state);
        }
    }

    fn keep_mark(&mut self, record: &NodeRecord) {
        let leaving =
            record.instance.as_ref().filter(|instance| instance.state != InstanceState::Ready);
        let Some(instance) = leaving else {
            return;
        };
        let incarnation = instance.incarnation();
        match self.marks.iter_mut().find(|(marked, _)| marked.may_equal(&incarnation)) {
            Some((_, state)) => *state = instance.state,
            None => self.marks.push_back((incarnation, instance.state)),
        }
        if self.marks.len() > MARKS_KEPT {
            self.marks.pop_front();
        }
    }

    /// Position of the newest change.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The records of all nodes that are listed.
    pub fn records(&self) -> impl Iterator<Item = &NodeRecord> {
        self.nodes.values().map(|held| &held.record)
    }

    /// Zone of a node that is listed.
    pub fn zone(&self, address: &NodeAddress) -> Option<&str> {
        self.nodes.get(address).map(|held| held.record.zone.as_str())
    }

    /// Whether a node is listed.
    pub fn lists(&self, address: &NodeAddress) -> bool {
        self.nodes.contains_key(address)
    }

    /// Number of nodes known.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// What a reader at `position` lacks; `None` stands for a reader that has nothing.
    pub fn changes_since(&self, position: Option<u64>) -> RegistryChanges {
        let oldest_kept = self.gone.front().map_or(0, |(at, _)| *at);
        let full_memory = self.gone.len() >= GONE_KEPT;
        let known = position.filter(|position| !full_memory || *position >= oldest_kept);
        let since = known.unwrap_or(0);
        let news = |held: &&Held| known.is_none() || held.changed_at > since;
        let gone = self.gone.iter().filter(|(at, _)| known.is_some() && *at > since);
        RegistryChanges {
            position: self.position,
            whole: known.is_none(),
            changed: self.nodes.values().filter(news).map(|held| held.aged(self.now)).collect(),
            gone: gone.map(|(_, address)| *address).collect(),
        }
    }
}

/// A record that came at a time, as it would be told now: an upstream that was cold is so for less long.
fn aged(mut record: NodeRecord, told_at: Millis, now: Millis) -> NodeRecord {
    if let Some(instance) = &mut record.instance {
        let age_ms = u32::try_from(now.saturating_sub(told_at)).unwrap_or(u32::MAX);
        instance.cold_remaining_ms = instance.cold_remaining_ms.saturating_sub(age_ms);
    }
    record
}
