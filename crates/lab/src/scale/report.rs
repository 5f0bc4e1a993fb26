//! Report of a scale run.

use super::fleet::ScaleFleet;
use serde::Serialize;
use std::time::Duration;

/// CPU time and memory of the processes of one role during a phase.
#[derive(Clone, Debug, Serialize)]
pub struct RoleUsage {
    /// `control`, `relay`, `proxy` (real) or `hollow`.
    pub role: String,
    /// CPU time per member, percent of a core, mean over the role.
    pub core_percent_mean: f64,
    /// CPU time of the median process, percent of a core; for proxies, a process without calls.
    pub core_percent_median: f64,
    /// CPU time of the busiest process, percent of a core.
    pub core_percent_max: f64,
    /// Resident memory per member at the end, MB, mean over the role.
    pub memory_mb_mean: f64,
    /// Resident memory of the largest process at the end, MB.
    pub memory_mb_max: f64,
}

/// Measurements of one phase.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// Name of the phase.
    pub phase: String,
    /// Duration, seconds.
    pub seconds: f64,
    /// Frame bytes between a proxy and its relay, per second, mean over all proxies.
    pub bytes_per_node_second: f64,
    /// Number of events in the phase: configuration changes, or upstream restarts.
    pub events: u64,
    /// Frame bytes per proxy and event, without the idle traffic.
    pub bytes_per_node_event: f64,
    /// Time from the operator's request until in force on a proxy, ms: median over proxies and
    /// changes.
    pub convergence_p50_ms: f64,
    /// 99th percentile of the same time.
    pub convergence_p99_ms: f64,
    /// Maximum of the same time.
    pub convergence_max_ms: f64,
    /// CPU time and memory by role.
    pub usage: Vec<RoleUsage>,
}

/// Measurements of a complete run.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Number of proxies, real and hollow.
    pub nodes: usize,
    /// Number of real proxies.
    pub real: usize,
    /// Number of control replicas.
    pub voters: usize,
    /// Number of relays.
    pub relays: usize,
    /// Number of services.
    pub services: usize,
    /// Time from the start until the first bundle was in force on all proxies, seconds.
    pub start_seconds: f64,
    /// Number of processes at the end.
    pub processes: usize,
    /// Resident memory of all processes at the end, MB.
    pub total_memory_mb: f64,
    /// Measurements by phase.
    pub phases: Vec<PhaseReport>,
}

impl ScaleReport {
    /// Creates a report without phases; `start` is the time until the first bundle was in force.
    pub fn new(fleet: &ScaleFleet, start: Duration) -> Self {
        ScaleReport {
            nodes: fleet.shape.nodes,
            real: fleet.shape.real,
            voters: fleet.shape.voters,
            relays: fleet.shape.zones,
            services: fleet.shape.services,
            start_seconds: start.as_secs_f64(),
            processes: 0,
            total_memory_mb: 0.0,
            phases: Vec::new(),
        }
    }

    /// Prints the report.
    pub fn print(&self) {
        println!(
            "{} proxies ({} real), {} control replicas, {} relays, {} services: \
             {} processes, {:.0} MB, first bundle in force after {:.1} s",
            self.nodes,
            self.real,
            self.voters,
            self.relays,
            self.services,
            self.processes,
            self.total_memory_mb,
            self.start_seconds
        );
        for phase in &self.phases {
            phase.print();
        }
    }
}

impl PhaseReport {
    /// Prints the measurements of the phase.
    pub fn print(&self) {
        println!(
            "{:<14} {:>6.1} s  {:>7.1} B/s a node  {:>4} events  {:>7.0} B a node and event  \
             in force p50 {:.0} p99 {:.0} max {:.0} ms",
            self.phase,
            self.seconds,
            self.bytes_per_node_second,
            self.events,
            self.bytes_per_node_event,
            self.convergence_p50_ms,
            self.convergence_p99_ms,
            self.convergence_max_ms
        );
        for usage in &self.usage {
            println!(
                "    {:<8} core mean {:>7.3} % median {:>7.3} % max {:>7.3} %   \
                 memory mean {:>7.2} MB max {:>7.2} MB",
                usage.role,
                usage.core_percent_mean,
                usage.core_percent_median,
                usage.core_percent_max,
                usage.memory_mb_mean,
                usage.memory_mb_max
            );
        }
    }
}
