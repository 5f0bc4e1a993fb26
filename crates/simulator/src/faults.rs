//! Turning a scenario and a seed into faults at certain times.

use crate::scenario::Scenario;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Some process dies and restarts after so many milliseconds.
    KillOne { kind: Kind, restart_ms: u64 },
    /// All processes of a kind die and restart within so many milliseconds.
    KillAll { kind: Kind, restart_ms: u64 },
    /// A control replica's disk is lost.
    LoseDisk,
    /// A control replica dies in its next write.
    TearWrite { bytes: usize, restart_ms: u64 },
    /// A zone is cut off in both directions, or only outward.
    Cut { both_ways: bool, heal_ms: u64 },
    /// A process stops and wakes up.
    Freeze { kind: Kind, wake_ms: u64 },
    /// A machine is suspended and wakes up; a leader wakes up cut off from the others for a while.
    Sleep { kind: Kind, wake_ms: u64, heal_ms: u64 },
    /// Messages are late, lost and doubled.
    Disturb { extra_delay_ms: u64 },
    /// Clocks of control run at another speed.
    Skew,
    /// A control leader, or a relay, is cut off in silence from control replicas only.
    Isolate { kind: Kind, heal_ms: u64 },
    /// The leader and a relay stop together; the leader wakes up still cut off from the others.
    PauseTogether { wake_ms: u64, heal_ms: u64 },
    /// A back end leaves and returns as a new incarnation.
    BackendLeaves,
}

/// Kinds of process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Control,
    Leader,
    Relay,
    Proxy,
}

/// Late enough that operators have made a generation or two.
const FIRST_FAULT_MS: u64 = 1_500;

/// Faults of a run, by time.
pub(crate) fn schedule(
    scenario: Scenario,
    end_ms: u64,
    random: &mut fastrand::Rng,
) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for family in scenario.families(random) {
        plan_family(family, end_ms, random, &mut faults);
    }
    for _ in 0..3 {
        faults.push((random.u64(1_000..end_ms), Fault::BackendLeaves));
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

fn plan_family(
    family: Scenario,
    end_ms: u64,
    random: &mut fastrand::Rng,
    faults: &mut Vec<(u64, Fault)>,
) {
    match family {
        Scenario::Calm | Scenario::Two => {}
        Scenario::Skew => faults.push((0, Fault::Skew)),
        Scenario::Delay => {
            faults.push((500, Fault::Disturb { extra_delay_ms: random.u64(20..300) }));
        }
        Scenario::LostDisk | Scenario::RepairThenLoss => {
            faults.push((random.u64(1_000..end_ms / 2), Fault::LoseDisk));
        }
        Scenario::Sleep => plan_sleep(end_ms, random, faults),
        Scenario::Behind => {
            let kill = Fault::KillOne { kind: Kind::Proxy, restart_ms: end_ms - 2_500 };
            faults.extend([(1_500, kill), (1_600, kill)]);
        }
        _ => {
            let mut at_ms = FIRST_FAULT_MS;
            while at_ms < end_ms {
                faults.push((at_ms, one_of(family, random)));
                at_ms += random.u64(200..1_500);
            }
        }
    }
}

fn one_of(family: Scenario, random: &mut fastrand::Rng) -> Fault {
    let kinds = [Kind::Control, Kind::Leader, Kind::Relay, Kind::Proxy];
    let kind = kinds[random.usize(..kinds.len())];
    match family {
        Scenario::Herd => {
            let kinds = [Kind::Control, Kind::Relay, Kind::Proxy];
            let kind = kinds[random.usize(..kinds.len())];
            Fault::KillAll { kind, restart_ms: random.u64(50..800) }
        }
        Scenario::TornWrite => {
            Fault::TearWrite { bytes: random.usize(0..200), restart_ms: random.u64(50..800) }
        }
        Scenario::Cut => Fault::Cut { both_ways: true, heal_ms: random.u64(300..3_500) },
        Scenario::OneWayCut => Fault::Cut { both_ways: false, heal_ms: random.u64(300..3_500) },
        Scenario::Freeze => Fault::Freeze { kind, wake_ms: random.u64(300..6_000) },
        Scenario::Silence => silence(random),
        Scenario::Outage => {
            Fault::KillAll { kind: Kind::Control, restart_ms: random.u64(500..3_000) }
        }
        Scenario::Race => Fault::KillOne { kind: Kind::Leader, restart_ms: random.u64(50..500) },
        _ => Fault::KillOne { kind, restart_ms: random.u64(50..1_500) },
    }
}

/// Machines that sleep, a leader with the relay that asks it among them. Proxies that heard of newer
/// generations meanwhile start as they wake.
fn plan_sleep(end_ms: u64, random: &mut fastrand::Rng, faults: &mut Vec<(u64, Fault)>) {
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms < end_ms {
        let kinds = [Kind::Control, Kind::Leader, Kind::Leader, Kind::Relay, Kind::Proxy];
        let kind = kinds[random.usize(..kinds.len())];
        let wake_ms = random.u64(300..4_000);
        let heal_ms = wake_ms + random.u64(0..1_500);
        faults.push((at_ms, Fault::Sleep { kind, wake_ms, heal_ms }));
        for _ in 0..random.u32(0..4) {
            let kill_at_ms = at_ms + wake_ms - random.u64(0..200);
            let restart_ms = random.u64(50..600);
            faults.push((kill_at_ms, Fault::KillOne { kind: Kind::Proxy, restart_ms }));
        }
        at_ms += random.u64(200..1_500);
    }
}

/// A control machine or relay that believes to be current, and proxies that start meanwhile.
fn silence(random: &mut fastrand::Rng) -> Fault {
    let heal_ms = random.u64(500..4_000);
    match random.u32(0..5) {
        0 => Fault::Isolate { kind: Kind::Leader, heal_ms },
        1 => Fault::Isolate { kind: Kind::Relay, heal_ms },
        2 => {
            let wake_ms = random.u64(700..2_000);
            Fault::PauseTogether { wake_ms, heal_ms: wake_ms + random.u64(0..1_500) }
        }
        3 => Fault::KillAll { kind: Kind::Proxy, restart_ms: random.u64(50..1_000) },
        _ => Fault::KillOne { kind: Kind::Proxy, restart_ms: random.u64(50..1_000) },
    }
}
