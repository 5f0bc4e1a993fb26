//! The coordinators: real registries, their exchanges, and the departures on their disks. A killed one
//! starts with what is on its disk, unless that was lost.

use super::{address, Millis};
use coordinator::{DepartureExchange, Registry, RegistryExchange, Source};
use mesh::{CoordinatorFrame, KnownDeparture, LastRecord, MemberId, NodeRecord};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

pub const COORDINATORS: usize = 3;
const LEASE_MS: Millis = 3_000;
const EXCHANGE_MS: Millis = 50;
const FRAME_MS: Millis = 20;
/// How long a write takes until it is synced.
const SYNC_MS: Millis = 30;
/// Time after which a coordinator takes its knowledge for complete.
const COMPLETE_AFTER_MS: Millis = 2_000;

/// What a coordinator answers to the first report on a link.
#[derive(Clone, Debug)]
pub struct Welcome {
    pub last: Option<LastRecord>,
    pub reported_at: Millis,
}

struct Running {
    registry: Registry,
    exchange: RegistryExchange,
    departures: DepartureExchange,
    started_at: Millis,
    /// Others that it has told everything since either of both started.
    told: BTreeSet<MemberId>,
    /// Position up to which departures are being written, and when that is synced.
    writing: Option<(u64, Millis)>,
    /// Position up to which departures are on disk.
    written: u64,
    /// Position up to which the sidecar was told of departures, and whether it was told that these are all.
    told_sidecar: (u64, bool),
}

pub struct Coordinators {
    members: Vec<Option<Running>>,
    up_at: Vec<Millis>,
    /// The departures on each disk.
    disks: Vec<Vec<KnownDeparture>>,
    /// Whether disks keep departures; not in a broken variant.
    keeps_departures: bool,
    epoch: u64,
    frames: BTreeMap<(Millis, u64), (MemberId, CoordinatorFrame)>,
    next_frame: u64,
}

fn member(number: usize) -> MemberId {
    MemberId::first_at(Ipv4Addr::new(10, 0, 1, number as u8 + 1))
}

impl Coordinators {
    pub fn new(keeps_departures: bool) -> Self {
        Coordinators {
            members: (0..COORDINATORS).map(|_| None).collect(),
            up_at: vec![0; COORDINATORS],
            disks: vec![Vec::new(); COORDINATORS],
            keeps_departures,
            epoch: 0,
            frames: BTreeMap::new(),
            next_frame: 0,
        }
    }

    pub fn is_up(&self, number: usize) -> bool {
        self.members[number].is_some()
    }

    pub fn kill(&mut self, number: usize, up_at: Millis) {
        self.members[number] = None;
        self.up_at[number] = up_at;
    }

    /// Empties the disk of a coordinator that is down.
    pub fn wipe(&mut self, number: usize) {
        self.disks[number].clear();
    }

    /// When the departure that a report states is on disk, if the coordinator runs on.
    pub fn synced_at(&self, number: usize, record: &NodeRecord, now: Millis) -> Millis {
        let Some(running) = self.members[number].as_ref().filter(|_| self.keeps_departures) else {
            return now;
        };
        let position = running.registry.departures().position_of(record);
        let is_due = position > running.written;
        // What is being written may end before it.
        if is_due {
            now + 2 * SYNC_MS
        } else {
            now
        }
    }

    /// What a coordinator tells the sidecar about departures on a new link, or if there is news.
    pub fn departures_for(
        &mut self,
        number: usize,
        is_new: bool,
        now: Millis,
    ) -> Option<(bool, Vec<KnownDeparture>)> {
        let members: Vec<MemberId> = (0..COORDINATORS).map(member).collect();
        let running = self.members[number].as_mut()?;
        let complete = now >= running.started_at + COMPLETE_AFTER_MS
            || running.departures.is_complete(&members);
        let departures = running.registry.departures();
        let told = (departures.position(), complete);
        if told == running.told_sidecar && !is_new {
            return None;
        }
        running.told_sidecar = told;
        Some((complete, departures.beside(&address())))
    }

    /// Opens a link with the first report of a sidecar, as `Links::open` of the coordinator does.
    pub fn open(
        &mut self,
        number: usize,
        record: NodeRecord,
        reported_at: Millis,
        now: Millis,
    ) -> Option<Welcome> {
        let registry = &mut self.members[number].as_mut()?.registry;
        let last = registry.last_record(&address()).filter(|last| last.boot_id != record.boot_id);
        let last = last.map(|last| {
            let ended_ms = registry.ended_ms(&address(), last.boot_id, now);
            LastRecord { record: last, ended_ms: ended_ms.map(|ms| ms as u32) }
        });
        registry.report(record, now);
        Some(Welcome { last, reported_at })
    }

    pub fn report(&mut self, number: usize, record: NodeRecord, now: Millis) {
        if let Some(running) = &mut self.members[number] {
            running.registry.report(record, now);
        }
    }

    pub fn alive(&mut self, number: usize, boot_id: u64, now: Millis) {
        if let Some(running) = &mut self.members[number] {
            running.registry.alive(&address(), boot_id, now);
        }
    }

    /// A connection was closed whose last contact was at `contact_at`.
    pub fn closed(&mut self, number: usize, boot_id: u64, contact_at: Millis) {
        if let Some(running) = &mut self.members[number] {
            running.registry.link_ended(&address(), boot_id, contact_at);
            running.registry.disconnected(&address(), boot_id);
        }
    }

    /// Starts those that are due, and lets all exchange their lists.
    pub fn step(&mut self, now: Millis) {
        for number in 0..COORDINATORS {
            if self.members[number].is_none() && self.up_at[number] <= now {
                self.start(number, now);
            }
        }
        self.write(now);
        if now.is_multiple_of(EXCHANGE_MS) {
            self.tick(now);
        }
        while let Some(entry) = self.frames.first_entry().filter(|next| next.key().0 <= now) {
            let (to, frame) = entry.remove();
            let number = (0..COORDINATORS).find(|number| member(*number) == to);
            let running = number.and_then(|number| self.members[number].as_mut());
            let Some(running) = running else {
                continue;
            };
            if let CoordinatorFrame::Departures { member, whole, departures } = frame {
                if whole {
                    running.departures.heard_whole(MemberId(member));
                }
                running.registry.add_departures(departures, Source::Peer, now);
                continue;
            }
            let Running { registry, exchange, .. } = running;
            let (answers, _) = exchange.receive(registry, frame, now);
            self.send(answers, now);
        }
    }

    fn start(&mut self, number: usize, now: Millis) {
        self.epoch += 1;
        let mut registry = Registry::new(LEASE_MS);
        registry.add_departures(self.disks[number].clone(), Source::Own, now);
        let written = registry.departures().position();
        for running in self.members.iter_mut().flatten() {
            running.told.remove(&member(number));
        }
        self.members[number] = Some(Running {
            registry,
            exchange: RegistryExchange::new(member(number), "a", self.epoch),
            departures: DepartureExchange::new(member(number)),
            started_at: now,
            told: BTreeSet::new(),
            writing: None,
            written,
            told_sidecar: (0, false),
        });
    }

    /// Writes what is new to the disks.
    fn write(&mut self, now: Millis) {
        for (running, disk) in self.members.iter_mut().zip(&mut self.disks) {
            let Some(running) = running.as_mut().filter(|_| self.keeps_departures) else {
                continue;
            };
            let departures = running.registry.departures();
            if let Some((position, _)) = running.writing.take_if(|(_, synced_at)| *synced_at <= now)
            {
                *disk = departures.since(0);
                running.written = position;
            }
            if running.writing.is_none() && departures.position() > running.written {
                running.writing = Some((departures.position(), now + SYNC_MS));
            }
        }
    }

    fn tick(&mut self, now: Millis) {
        let ids: Vec<MemberId> = (0..COORDINATORS).map(member).collect();
        let is_up = |id: &&MemberId| {
            let number = (0..COORDINATORS).find(|number| member(*number) == **id);
            number.is_some_and(|number| self.members[number].is_some())
        };
        let up: BTreeSet<MemberId> = ids.iter().filter(is_up).copied().collect();
        let mut due = Vec::new();
        for (number, running) in self.members.iter_mut().enumerate() {
            let Some(Running { registry, exchange, departures, told, .. }) = running else {
                continue;
            };
            registry.expire(now);
            let peers: Vec<MemberId> =
                ids.iter().copied().filter(|id| *id != member(number)).collect();
            due.extend(exchange.tick(registry, &peers, now));
            let reached = peers.into_iter().filter(|peer| up.contains(peer));
            let (others, behind): (Vec<MemberId>, Vec<MemberId>) =
                reached.partition(|peer| told.contains(peer));
            told.extend(&behind);
            due.extend(departures.due(registry.departures(), &behind, &others, now));
        }
        self.send(due, now);
    }

    fn send(&mut self, frames: Vec<(MemberId, CoordinatorFrame)>, now: Millis) {
        for frame in frames {
            self.next_frame += 1;
            self.frames.insert((now + FRAME_MS, self.next_frame), frame);
        }
    }
}
