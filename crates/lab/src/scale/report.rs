//! What a scale run measured.

use super::fleet::ScaleFleet;
use serde::Serialize;
use std::time::Duration;

/// Processor time and memory of the processes of one role during a phase.
#[derive(Clone, Debug, Serialize)]
pub struct RoleUsage {
    /// `control`, `relay`, `proxy` (real) or `hollow`.
    pub role: String,
    /// Processor time of one member, per cent of a core, mean over the role.
    pub core_percent_mean: f64,
    /// The same of the middle process; for proxies one that carries no calls.
    pub core_percent_median: f64,
    /// The same of the busiest process.
    pub core_percent_max: f64,
    /// Resident memory of one member at the end, MB, mean.
    pub memory_mb_mean: f64,
    /// The same of the largest process.
    pub memory_mb_max: f64,
}

/// One phase.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseReport {
    /// Name.
    pub phase: String,
    /// How long it took, seconds.
    pub seconds: f64,
    /// Frames between a proxy and its relay, bytes a second, mean over all proxies.
    pub bytes_per_node_second: f64,
    /// Events in the phase: changes, or endpoint changes.
    pub events: u64,
    /// Frames per proxy and event, bytes, idle traffic taken off.
    pub bytes_per_node_event: f64,
    /// From the operator's request until in force on a proxy, ms: median.
    pub convergence_p50_ms: f64,
    /// 99th percentile over proxies and changes.
    pub convergence_p99_ms: f64,
    /// The last proxy of all changes.
    pub convergence_max_ms: f64,
    /// Usage by role.
    pub usage: Vec<RoleUsage>,
}

/// A whole run.
#[derive(Clone, Debug, Serialize)]
pub struct ScaleReport {
    /// Proxies.
    pub nodes: usize,
    /// Real ones among them.
    pub real: usize,
    /// Control replicas.
    pub voters: usize,
    /// Relays.
    pub relays: usize,
    /// Services.
    pub services: usize,
    /// From the start until the first bundle was in force everywhere, seconds.
    pub start_seconds: f64,
    /// Processes at the end.
    pub processes: usize,
    /// Memory of all processes at the end, MB.
    pub total_memory_mb: f64,
    /// Phases.
    pub phases: Vec<PhaseReport>,
}

impl ScaleReport {
    /// A report without phases yet.
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

    /// Prints the whole.
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
    /// Prints one phase.
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
