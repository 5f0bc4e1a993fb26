//! Generates the fault schedule of a run from its scenario and seed.

use crate::scenario::Scenario;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A process of this kind is killed and restarts after `restart_ms`.
    KillOne { kind: ProcessKind, restart_ms: u64 },
    /// All processes of this kind are killed and restart within `restart_ms`.
    KillAll { kind: ProcessKind, restart_ms: u64 },
    /// A control replica loses its disk.
    LoseDisk,
    /// A control replica crashes during its next write, of which `bytes` reach the disk.
    TearWrite { bytes: usize, restart_ms: u64 },
    /// A zone is partitioned from the others in both directions, or only outbound.
    Cut { both_ways: bool, heal_ms: u64 },
    /// A process is paused and resumes after `wake_ms`.
    Freeze { kind: ProcessKind, wake_ms: u64 },
    /// A machine is suspended for `wake_ms`, and partitioned from control replicas until `heal_ms`.
    Sleep { kind: ProcessKind, wake_ms: u64, heal_ms: u64 },
    /// Messages are delayed; consensus messages are also lost and duplicated.
    Disturb { extra_delay_ms: u64 },
    /// Control replicas tick at different speeds.
    Skew,
    /// A control leader or a relay is partitioned from control replicas only, without connection
    /// errors.
    Isolate { kind: ProcessKind, heal_ms: u64 },
    /// The leader and a relay are paused together. The leader resumes while still partitioned from
    /// the other replicas.
    PauseTogether { wake_ms: u64, heal_ms: u64 },
    /// A back end leaves, and returns later as a new incarnation.
    BackendLeaves,
}

/// Kind of process that a fault targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProcessKind {
    Control,
    Leader,
    Relay,
    Proxy,
}

/// Time of the first fault: operators have created one or two generations by then.
const FIRST_FAULT_MS: u64 = 1_500;

/// Returns the faults of a run in order of time.
pub(crate) fn schedule(
    scenario: Scenario,
    faults_end_ms: u64,
    random: &mut fastrand::Rng,
) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    for component in scenario.components(random) {
        plan_scenario(component, faults_end_ms, random, &mut faults);
    }
    for _ in 0..3 {
        faults.push((random.u64(1_000..faults_end_ms), Fault::BackendLeaves));
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

fn plan_scenario(
    scenario: Scenario,
    faults_end_ms: u64,
    random: &mut fastrand::Rng,
    faults: &mut Vec<(u64, Fault)>,
) {
    match scenario {
        Scenario::Calm | Scenario::Two => {}
        Scenario::Skew => faults.push((0, Fault::Skew)),
        Scenario::Delay => {
            faults.push((500, Fault::Disturb { extra_delay_ms: random.u64(20..300) }));
        }
        Scenario::LostDisk | Scenario::RepairThenLoss => {
            faults.push((random.u64(1_000..faults_end_ms / 2), Fault::LoseDisk));
        }
        Scenario::Sleep => plan_sleep(faults_end_ms, random, faults),
        Scenario::Behind => {
            let kill =
                Fault::KillOne { kind: ProcessKind::Proxy, restart_ms: faults_end_ms - 2_500 };
            faults.extend([(1_500, kill), (1_600, kill)]);
        }
        _ => {
            let mut at_ms = FIRST_FAULT_MS;
            while at_ms < faults_end_ms {
                faults.push((at_ms, random_fault(scenario, random)));
                at_ms += random.u64(200..1_500);
            }
        }
    }
}

fn random_fault(scenario: Scenario, random: &mut fastrand::Rng) -> Fault {
    let kinds = [ProcessKind::Control, ProcessKind::Leader, ProcessKind::Relay, ProcessKind::Proxy];
    let kind = kinds[random.usize(..kinds.len())];
    match scenario {
        Scenario::Herd => {
            let kinds = [ProcessKind::Control, ProcessKind::Relay, ProcessKind::Proxy];
            let kind = kinds[random.usize(..kinds.len())];
            Fault::KillAll { kind, restart_ms: random.u64(50..800) }
        }
        Scenario::TornWrite => {
            Fault::TearWrite { bytes: random.usize(0..200), restart_ms: random.u64(50..800) }
        }
        Scenario::Cut => Fault::Cut { both_ways: true, heal_ms: random.u64(300..3_500) },
        Scenario::OneWayCut => Fault::Cut { both_ways: false, heal_ms: random.u64(300..3_500) },
        Scenario::Freeze => Fault::Freeze { kind, wake_ms: random.u64(300..6_000) },
        Scenario::Silence => random_isolation(random),
        Scenario::Outage => {
            Fault::KillAll { kind: ProcessKind::Control, restart_ms: random.u64(500..3_000) }
        }
        Scenario::Race => {
            Fault::KillOne { kind: ProcessKind::Leader, restart_ms: random.u64(50..500) }
        }
        _ => Fault::KillOne { kind, restart_ms: random.u64(50..1_500) },
    }
}

/// Schedules suspensions of machines. Up to three proxies, which may have received newer
/// generations meanwhile, are killed around the time of the wake-up, so that they reconnect to
/// stale processes.
fn plan_sleep(faults_end_ms: u64, random: &mut fastrand::Rng, faults: &mut Vec<(u64, Fault)>) {
    let mut at_ms = FIRST_FAULT_MS;
    while at_ms < faults_end_ms {
        let kinds = [
            ProcessKind::Control,
            ProcessKind::Leader,
            ProcessKind::Leader,
            ProcessKind::Relay,
            ProcessKind::Proxy,
        ];
        let kind = kinds[random.usize(..kinds.len())];
        let wake_ms = random.u64(300..4_000);
        let heal_ms = wake_ms + random.u64(0..1_500);
        faults.push((at_ms, Fault::Sleep { kind, wake_ms, heal_ms }));
        for _ in 0..random.u32(0..4) {
            let kill_at_ms = at_ms + wake_ms - random.u64(0..200);
            let restart_ms = random.u64(50..600);
            faults.push((kill_at_ms, Fault::KillOne { kind: ProcessKind::Proxy, restart_ms }));
        }
        at_ms += random.u64(200..1_500);
    }
}

/// Returns a fault that leaves a leader or relay unaware that it is stale, or a restart of proxies,
/// which must then not accept its stale data.
fn random_isolation(random: &mut fastrand::Rng) -> Fault {
    let heal_ms = random.u64(500..4_000);
    match random.u32(0..5) {
        0 => Fault::Isolate { kind: ProcessKind::Leader, heal_ms },
        1 => Fault::Isolate { kind: ProcessKind::Relay, heal_ms },
        2 => {
            let wake_ms = random.u64(700..2_000);
            Fault::PauseTogether { wake_ms, heal_ms: wake_ms + random.u64(0..1_500) }
        }
        3 => Fault::KillAll { kind: ProcessKind::Proxy, restart_ms: random.u64(50..1_000) },
        _ => Fault::KillOne { kind: ProcessKind::Proxy, restart_ms: random.u64(50..1_000) },
    }
}
