//! What a large fleet is put through.

use super::fleet::{now_us, ScaleFleet};
use super::report::{PhaseReport, RoleUsage};
use super::usage::Usage;
use crate::experiment::Findings;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

const IDLE: Duration = Duration::from_secs(10);
const CHANGES: u64 = 6;
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for proxies to fall idle after a phase.
const SETTLE: Duration = Duration::from_secs(4);
const CHURN: Duration = Duration::from_secs(20);
/// Ten times 870 restarts a day, each seen as leaving and as live again.
const CHURN_INTERVAL: Duration = Duration::from_millis(500);
const ZONE_CUT: Duration = Duration::from_secs(60);
const LEADER_FROZEN: Duration = Duration::from_secs(10);

/// A part of a scale run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing happens.
    Idle,
    /// A change of one route every 5 s.
    Changes,
    /// Upstreams restart.
    Churn,
    /// A relay is killed at the moment of a change, and stays away.
    RelayKilled,
    /// The control leader is killed at the moment of a change.
    LeaderKilled,
    /// The control leader is frozen at the moment of a change.
    LeaderFrozen,
    /// A zone reaches no other for a minute, with a change meanwhile.
    ZoneCut,
    /// Every proxy is killed and restarts.
    Herd,
}

impl Phase {
    /// All, in the order of a whole run.
    pub const ALL: [Phase; 8] = [
        Phase::Idle,
        Phase::Changes,
        Phase::Churn,
        Phase::RelayKilled,
        Phase::LeaderKilled,
        Phase::LeaderFrozen,
        Phase::ZoneCut,
        Phase::Herd,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Phase::Idle => "idle",
            Phase::Changes => "changes",
            Phase::Churn => "churn",
            Phase::RelayKilled => "relay-killed",
            Phase::LeaderKilled => "leader-killed",
            Phase::LeaderFrozen => "leader-frozen",
            Phase::ZoneCut => "zone-cut",
            Phase::Herd => "herd",
        }
    }
}

impl fmt::Display for Phase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for Phase {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Phase::ALL.into_iter().find(|phase| phase.as_str() == text);
        found.ok_or_else(|| format!("'{text}' is not a phase"))
    }
}

/// Changes of a phase: generation and when it was asked for.
type Changes = Vec<(u64, u64)>;

/// Runs one phase and measures it.
pub fn run_phase(fleet: &mut ScaleFleet, phase: Phase) -> Result<PhaseReport, crate::Failure> {
    thread::sleep(SETTLE);
    let idle_bytes_second = idle_bytes_per_second(fleet);
    let before = fleet.usage();
    let bytes_before = fleet.control_bytes();
    let started = Instant::now();
    let mut events = 0;
    let changes = match phase {
        Phase::Idle => {
            thread::sleep(IDLE);
            Vec::new()
        }
        Phase::Changes => {
            events = CHANGES;
            changes(fleet)?
        }
        Phase::Churn => {
            events = churn(fleet);
            Vec::new()
        }
        Phase::RelayKilled => relay_killed(fleet)?,
        Phase::LeaderKilled => leader_killed(fleet)?,
        Phase::LeaderFrozen => leader_frozen(fleet)?,
        Phase::ZoneCut => zone_cut(fleet)?,
        Phase::Herd => herd(fleet)?,
    };
    let seconds = started.elapsed().as_secs_f64();
    let nodes = fleet.shape.nodes as f64;
    // Counters of proxies that were restarted began again at zero.
    let bytes = fleet.control_bytes().saturating_sub(bytes_before) as f64;
    let idle = idle_bytes_second * seconds;
    let times = convergence(fleet, &changes)?;
    let quantile = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    let has_times = !times.is_empty();
    Ok(PhaseReport {
        phase: phase.to_string(),
        seconds,
        bytes_per_node_second: bytes / nodes / seconds,
        events,
        bytes_per_node_event: if events > 0 { (bytes - idle) / nodes / events as f64 } else { 0.0 },
        convergence_p50_ms: if has_times { quantile(0.5) } else { 0.0 },
        convergence_p99_ms: if has_times { quantile(0.99) } else { 0.0 },
        convergence_max_ms: if has_times { quantile(1.0) } else { 0.0 },
        usage: by_role(fleet, &before, &fleet.usage(), seconds),
    })
}

fn idle_bytes_per_second(fleet: &ScaleFleet) -> f64 {
    let started = Instant::now();
    let before = fleet.control_bytes();
    thread::sleep(Duration::from_secs(5));
    fleet.control_bytes().saturating_sub(before) as f64 / started.elapsed().as_secs_f64()
}

fn convergence(fleet: &ScaleFleet, changes: &Changes) -> Result<Histogram<u64>, crate::Failure> {
    let mut times = Histogram::new(3).map_err(|error| error.to_string())?;
    let asked: BTreeMap<u64, u64> = changes.iter().copied().collect();
    for (generation, at_us) in fleet.applied() {
        if let Some(asked_us) = asked.get(&generation) {
            let _ = times.record(at_us.saturating_sub(*asked_us));
        }
    }
    Ok(times)
}

fn changes(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let mut changes = Vec::new();
    for _ in 0..CHANGES {
        let next = Instant::now() + CHANGE_INTERVAL;
        changes.push(fleet.change()?);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    fleet.wait_in_force(fleet.generation())?;
    Ok(changes)
}

fn churn(fleet: &ScaleFleet) -> u64 {
    let end = Instant::now() + CHURN;
    let mut restarts = 0;
    while Instant::now() < end {
        let number = restarts as usize * 7 % fleet.shape.nodes;
        let incarnation = 2 + restarts / fleet.shape.nodes as u64;
        fleet.set_upstream(number, incarnation - 1, "leaving");
        thread::sleep(CHURN_INTERVAL);
        fleet.set_upstream(number, incarnation, "live");
        restarts += 1;
    }
    restarts
}

fn relay_killed(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let name = fleet.fleet.layout.relays[0].settings.name.clone();
    if let Some(relay) = fleet.fleet.processes.get_mut(&name) {
        relay.kill();
    }
    let change = fleet.change()?;
    fleet.wait_in_force(change.0)?;
    fleet.fleet.start_relay(0)?;
    Ok(vec![change])
}

fn leader_killed(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let leader = fleet.leader().ok_or("no leader is known")?;
    let name = format!("control-{}", fleet.fleet.layout.voters[leader].id);
    if let Some(process) = fleet.fleet.processes.get_mut(&name) {
        process.kill();
    }
    let asked_us = now_us();
    let (generation, _) = fleet.change()?;
    fleet.wait_in_force(generation)?;
    fleet.fleet.start_voter(leader, None)?;
    Ok(vec![(generation, asked_us)])
}

fn leader_frozen(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let leader = fleet.leader().ok_or("no leader is known")?;
    let name = format!("control-{}", fleet.fleet.layout.voters[leader].id);
    let woken_at = Instant::now() + LEADER_FROZEN;
    if let Some(process) = fleet.fleet.processes.get_mut(&name) {
        process.freeze();
    }
    let asked_us = now_us();
    let changed = fleet.change();
    let waited = changed.and_then(|(generation, _)| {
        fleet.wait_in_force(generation)?;
        Ok(generation)
    });
    thread::sleep(woken_at.saturating_duration_since(Instant::now()));
    if let Some(process) = fleet.fleet.processes.get_mut(&name) {
        process.resume();
    }
    Ok(vec![(waited?, asked_us)])
}

fn zone_cut(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let zone = fleet.fleet.layout.spec.zones[fleet.shape.zones - 1].clone();
    let inside = zone.proxies + zone.hollow_proxies;
    let healed_at = Instant::now() + ZONE_CUT;
    fleet.fleet.layout.network.cut_zone(&zone.name);
    let change = fleet.change()?;
    thread::sleep(healed_at.saturating_duration_since(Instant::now()));
    let outside = fleet.shape.nodes - inside;
    let reached = fleet.count_in_force(change.0);
    println!("during the cut: in force on {reached} proxies, {outside} are outside the zone");
    fleet.fleet.layout.network.heal();
    let took = fleet.wait_in_force(change.0)?;
    println!("after the cut: in force everywhere {:.2} s later", took.as_secs_f64());
    Ok(vec![change])
}

fn herd(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    fleet.restart_all_proxies()?;
    let began_us = now_us();
    fleet.wait_in_force(fleet.generation())?;
    Ok(vec![(fleet.generation(), began_us)])
}

const ROLES: [&str; 4] = ["control", "relay", "proxy", "hollow"];

fn by_role(
    fleet: &ScaleFleet,
    before: &BTreeMap<String, Usage>,
    after: &BTreeMap<String, Usage>,
    seconds: f64,
) -> Vec<RoleUsage> {
    let hollow_count = (fleet.shape.nodes - fleet.shape.real) as f64;
    ROLES.iter().filter_map(|role| role_usage(role, before, after, seconds, hollow_count)).collect()
}

fn role_usage(
    role: &str,
    before: &BTreeMap<String, Usage>,
    after: &BTreeMap<String, Usage>,
    seconds: f64,
    hollow_count: f64,
) -> Option<RoleUsage> {
    let prefix = format!("{role}-");
    let processes: Vec<(&String, &Usage)> =
        after.iter().filter(|(name, _)| name.starts_with(&prefix)).collect();
    let core = |name: &String, usage: &Usage| {
        // A process that was started again began at zero.
        let earlier = before.get(name).map_or(0.0, |usage| usage.cpu_s);
        let spent = if usage.cpu_s >= earlier { usage.cpu_s - earlier } else { usage.cpu_s };
        100.0 * spent / seconds
    };
    let cores: Vec<f64> = processes.iter().map(|(name, usage)| core(name, usage)).collect();
    let memories: Vec<f64> =
        processes.iter().map(|(_, usage)| usage.resident_bytes as f64 / 1e6).collect();
    if processes.is_empty() {
        return None;
    }
    let members = if role == "hollow" { hollow_count } else { processes.len() as f64 };
    let largest = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    Some(RoleUsage {
        role: role.to_owned(),
        core_percent_mean: cores.iter().sum::<f64>() / members,
        core_percent_median: Findings::median(&cores),
        core_percent_max: largest(&cores),
        memory_mb_mean: memories.iter().sum::<f64>() / members,
        memory_mb_max: largest(&memories),
    })
}
