//! The phases of a scale run: load patterns and faults.

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

const IDLE_DURATION: Duration = Duration::from_secs(10);
const CHANGE_COUNT: u64 = 6;
const CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Time for proxies to fall idle after a phase.
const SETTLE_DURATION: Duration = Duration::from_secs(4);
const CHURN_DURATION: Duration = Duration::from_secs(20);
/// Ten times 870 restarts per day; each restart changes the upstream to leaving and back to live.
const CHURN_INTERVAL: Duration = Duration::from_millis(500);
const ZONE_PARTITION_DURATION: Duration = Duration::from_secs(60);
const LEADER_FREEZE_DURATION: Duration = Duration::from_secs(10);

/// A part of a scale run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No changes and no faults.
    Idle,
    /// One route changes every 5 s.
    Changes,
    /// Upstreams restart, one after another.
    Churn,
    /// A relay is killed at the moment of a change, and restarted after the change is in force.
    RelayKilled,
    /// The control leader is killed at the moment of a change.
    LeaderKilled,
    /// The control leader is frozen at the moment of a change.
    LeaderFrozen,
    /// A zone is partitioned from all others for a minute, with a change in that time.
    ZoneCut,
    /// All proxies are killed and restart at once (thundering herd).
    Herd,
}

impl Phase {
    /// All phases, in the order of a complete run.
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

/// Changes of a phase: generation and time of the request, microseconds since 1970.
type Changes = Vec<(u64, u64)>;

/// Runs one phase and returns its measurements.
pub fn run_phase(fleet: &mut ScaleFleet, phase: Phase) -> Result<PhaseReport, crate::Failure> {
    thread::sleep(SETTLE_DURATION);
    let idle_bytes_per_s = idle_bytes_per_second(fleet);
    let before = fleet.usage();
    let bytes_before = fleet.control_bytes();
    let started = Instant::now();
    let mut events = 0;
    let changes = match phase {
        Phase::Idle => {
            thread::sleep(IDLE_DURATION);
            Vec::new()
        }
        Phase::Changes => {
            events = CHANGE_COUNT;
            changes(fleet)?
        }
        Phase::Churn => {
            events = churn(fleet);
            Vec::new()
        }
        Phase::RelayKilled => relay_killed(fleet)?,
        Phase::LeaderKilled => leader_killed(fleet)?,
        Phase::LeaderFrozen => leader_frozen(fleet)?,
        Phase::ZoneCut => zone_partition(fleet)?,
        Phase::Herd => herd(fleet)?,
    };
    let seconds = started.elapsed().as_secs_f64();
    let nodes = fleet.shape.nodes as f64;
    // The counters of restarted proxies start from zero, so the difference may be negative.
    let bytes = fleet.control_bytes().saturating_sub(bytes_before) as f64;
    let idle_bytes = idle_bytes_per_s * seconds;
    let times = convergence(fleet, &changes)?;
    let quantile = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    let has_times = !times.is_empty();
    Ok(PhaseReport {
        phase: phase.to_string(),
        seconds,
        bytes_per_node_second: bytes / nodes / seconds,
        events,
        bytes_per_node_event: if events > 0 {
            (bytes - idle_bytes) / nodes / events as f64
        } else {
            0.0
        },
        convergence_p50_ms: if has_times { quantile(0.5) } else { 0.0 },
        convergence_p99_ms: if has_times { quantile(0.99) } else { 0.0 },
        convergence_max_ms: if has_times { quantile(1.0) } else { 0.0 },
        usage: usage_by_role(fleet, &before, &fleet.usage(), seconds),
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
    let requested: BTreeMap<u64, u64> = changes.iter().copied().collect();
    for (generation, at_us) in fleet.applied() {
        if let Some(requested_us) = requested.get(&generation) {
            let _ = times.record(at_us.saturating_sub(*requested_us));
        }
    }
    Ok(times)
}

fn changes(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let mut changes = Vec::new();
    for _ in 0..CHANGE_COUNT {
        let next = Instant::now() + CHANGE_INTERVAL;
        changes.push(fleet.roll_out_change()?);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    fleet.wait_in_force(fleet.generation())?;
    Ok(changes)
}

fn churn(fleet: &ScaleFleet) -> u64 {
    let end = Instant::now() + CHURN_DURATION;
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
    let name = fleet.running.layout.relays[0].settings.name.clone();
    if let Some(relay) = fleet.running.processes.get_mut(&name) {
        relay.kill();
    }
    let change = fleet.roll_out_change()?;
    fleet.wait_in_force(change.0)?;
    fleet.running.start_relay(0)?;
    Ok(vec![change])
}

fn leader_killed(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let leader = fleet.leader().ok_or("no leader is known")?;
    let name = format!("control-{}", fleet.running.layout.voters[leader].id);
    if let Some(process) = fleet.running.processes.get_mut(&name) {
        process.kill();
    }
    let requested_us = now_us();
    let (generation, _) = fleet.roll_out_change()?;
    fleet.wait_in_force(generation)?;
    fleet.running.start_voter(leader, None)?;
    Ok(vec![(generation, requested_us)])
}

fn leader_frozen(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let leader = fleet.leader().ok_or("no leader is known")?;
    let name = format!("control-{}", fleet.running.layout.voters[leader].id);
    let resume_at = Instant::now() + LEADER_FREEZE_DURATION;
    if let Some(process) = fleet.running.processes.get_mut(&name) {
        process.freeze();
    }
    let requested_us = now_us();
    let rollout = fleet.roll_out_change();
    let in_force_generation = rollout.and_then(|(generation, _)| {
        fleet.wait_in_force(generation)?;
        Ok(generation)
    });
    thread::sleep(resume_at.saturating_duration_since(Instant::now()));
    if let Some(process) = fleet.running.processes.get_mut(&name) {
        process.resume();
    }
    Ok(vec![(in_force_generation?, requested_us)])
}

fn zone_partition(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    let zone = fleet.running.layout.spec.zones[fleet.shape.zones - 1].clone();
    let inside = zone.proxies + zone.hollow_proxies;
    let heal_at = Instant::now() + ZONE_PARTITION_DURATION;
    fleet.running.layout.network.partition_zone(&zone.name);
    let change = fleet.roll_out_change()?;
    thread::sleep(heal_at.saturating_duration_since(Instant::now()));
    let outside = fleet.shape.nodes - inside;
    let in_force = fleet.count_in_force(change.0);
    println!("during the cut: in force on {in_force} proxies, {outside} are outside the zone");
    fleet.running.layout.network.heal();
    let elapsed = fleet.wait_in_force(change.0)?;
    println!("after the cut: in force everywhere {:.2} s later", elapsed.as_secs_f64());
    Ok(vec![change])
}

fn herd(fleet: &mut ScaleFleet) -> Result<Changes, crate::Failure> {
    fleet.restart_all_proxies()?;
    let restarted_us = now_us();
    fleet.wait_in_force(fleet.generation())?;
    Ok(vec![(fleet.generation(), restarted_us)])
}

const ROLES: [&str; 4] = ["control", "relay", "proxy", "hollow"];

fn usage_by_role(
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
    let core_percent = |name: &String, usage: &Usage| {
        // The CPU time of a restarted process starts from zero.
        let earlier = before.get(name).map_or(0.0, |usage| usage.cpu_s);
        let used = if usage.cpu_s >= earlier { usage.cpu_s - earlier } else { usage.cpu_s };
        100.0 * used / seconds
    };
    let core_percents: Vec<f64> =
        processes.iter().map(|(name, usage)| core_percent(name, usage)).collect();
    let memories_mb: Vec<f64> =
        processes.iter().map(|(_, usage)| usage.resident_bytes as f64 / 1e6).collect();
    if processes.is_empty() {
        return None;
    }
    let members = if role == "hollow" { hollow_count } else { processes.len() as f64 };
    let max = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    Some(RoleUsage {
        role: role.to_owned(),
        core_percent_mean: core_percents.iter().sum::<f64>() / members,
        core_percent_median: Findings::median(&core_percents),
        core_percent_max: max(&core_percents),
        memory_mb_mean: memories_mb.iter().sum::<f64>() / members,
        memory_mb_max: max(&memories_mb),
    })
}
