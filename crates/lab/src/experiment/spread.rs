//! How configuration is distributed to 200 proxies in a deployment of the current size.

use super::{Findings, Series};
use crate::fleet::bundle_toml;
use crate::scale::{self, FleetShape, Phase, ScaleFleet};
use bundle::BundleUpdate;

const NODES: usize = 200;
/// Bound on the 99th percentile of convergence without faults.
const HEALTHY_P99_MS: f64 = 250.0;
const LEADER_KILLED_P99_MS: f64 = 2_000.0;
const IDLE_BYTES_PER_S: f64 = 100.0;
const HERD_MAX_MS: f64 = 5_000.0;
const MISSED_CHANGES: usize = 500;
/// Bytes besides the snapshot: approval, digests, position in the endpoint stream and frames.
const CATCH_UP_OVERHEAD_BYTES: f64 = 256.0;
/// Baseline without a relay protocol: each node polls for the whole bundle once per second, so 5
/// times between two changes.
const POLLS_PER_CHANGE_INTERVAL: f64 = 5.0;

/// Measures convergence without faults, and with the leader killed at the moment of the change.
pub fn convergence() -> Result<Findings, crate::Failure> {
    let report = scale::measure(FleetShape::today(NODES), &[Phase::Changes, Phase::LeaderKilled])?;
    let mut findings = Findings::new("convergence", "quantile of proxies, per cent", "time, ms");
    for (phase, bound) in report.phases.iter().zip([HEALTHY_P99_MS, LEADER_KILLED_P99_MS]) {
        let name = phase.phase.replace('-', "_");
        findings.set(format!("{name}_p50_ms"), phase.convergence_p50_ms);
        findings.set(format!("{name}_p99_ms"), phase.convergence_p99_ms);
        findings.set(format!("{name}_max_ms"), phase.convergence_max_ms);
        let within = phase.convergence_p99_ms <= bound;
        findings.check(within, format!("{name}: p99 is above {bound} ms"));
        let points = vec![
            (50.0, phase.convergence_p50_ms),
            (99.0, phase.convergence_p99_ms),
            (100.0, phase.convergence_max_ms),
        ];
        findings.series.push(Series { name: phase.phase.clone(), points });
    }
    Ok(findings)
}

/// Measures control bytes of a change and of an idle proxy, compared with two baselines.
pub fn bytes() -> Result<Findings, crate::Failure> {
    let shape = FleetShape::today(NODES);
    let services = shape.service_shapes();
    let report = scale::measure(shape, &[Phase::Idle, Phase::Changes])?;
    let (idle, changes) = (&report.phases[0], &report.phases[1]);
    let key = bundle::SealKey::new(1, [7; 32]);
    let load = |revision| -> Result<bundle::Bundle, crate::Failure> {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let path = folder.path().join("bundle.toml");
        let text = bundle_toml(&services, revision);
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        bundle::source::load(&path, Some(&key)).map_err(|error| error.to_string())
    };
    let (before, after) = (load(1)?, load(2)?);
    let snapshot = BundleUpdate::compress(&after).len() as f64;
    let delta = match bundle::best_update(Some(&before), &after) {
        BundleUpdate::Delta(delta) => delta.encoded_size() as f64,
        _ => snapshot,
    };
    let mut findings = Findings::new("bytes", "", "");
    let bytes_per_change = changes.bytes_per_node_event;
    findings.set("idle_bytes_per_node_s", idle.bytes_per_node_second);
    findings.set("bytes_per_node_change", bytes_per_change);
    findings.set("encoded_change_bytes", delta);
    findings.set("baseline_full_push_bytes_per_node_change", snapshot);
    findings.set(
        "baseline_polling_each_second_bytes_per_node_5s",
        snapshot * POLLS_PER_CHANGE_INTERVAL,
    );
    findings.set("times_less_than_full_push", snapshot / bytes_per_change);
    let bound = 1.5 * delta + 200.0;
    findings.check(bytes_per_change <= bound, format!("a change costs more than {bound:.0} bytes"));
    let within = idle.bytes_per_node_second <= IDLE_BYTES_PER_S;
    findings.check(within, "an idle proxy costs more than 100 bytes a second");
    Ok(findings)
}

/// Kills and restarts all proxies at once.
pub fn storm() -> Result<Findings, crate::Failure> {
    let report = scale::measure(FleetShape::today(NODES), &[Phase::Herd])?;
    let herd = &report.phases[0];
    let mut findings = Findings::new("storm", "quantile of proxies, per cent", "time, ms");
    findings.set("herd_p50_ms", herd.convergence_p50_ms);
    findings.set("herd_p99_ms", herd.convergence_p99_ms);
    findings.set("herd_max_ms", herd.convergence_max_ms);
    let within = herd.convergence_max_ms <= HERD_MAX_MS;
    findings.check(within, "restarting all proxies took longer than 5 s");
    let points = vec![
        (50.0, herd.convergence_p50_ms),
        (99.0, herd.convergence_p99_ms),
        (100.0, herd.convergence_max_ms),
    ];
    findings.series.push(Series { name: "in force after".to_owned(), points });
    Ok(findings)
}

/// Freezes a proxy while 500 changes are rolled out, and measures what it receives to catch up.
pub fn catchup() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let mut fleet = ScaleFleet::start(folder.path(), FleetShape::today(20))?;
    let name = fleet.running.layout.proxies[0].settings.name.clone();
    let metrics = fleet.running.layout.proxies[0].settings.metrics_listen;
    let received = |fleet: &ScaleFleet| {
        let name = "chutecove_proxy_control_received_bytes_total";
        fleet.running.metric(metrics, name).unwrap_or(0.0)
    };
    let before = received(&fleet);
    set_frozen(&mut fleet, &name, true);
    for _ in 0..MISSED_CHANGES {
        fleet.roll_out_change()?;
    }
    set_frozen(&mut fleet, &name, false);
    fleet.wait_in_force(fleet.generation())?;
    let catch_up_bytes = received(&fleet) - before;
    let mut findings = Findings::new("catchup", "", "");
    let snapshot = fleet.snapshot_bytes()? as f64;
    findings.set("changes_missed", MISSED_CHANGES as f64);
    findings.set("received_bytes", catch_up_bytes);
    findings.set("snapshot_bytes", snapshot);
    let bound = snapshot + CATCH_UP_OVERHEAD_BYTES;
    findings.check(catch_up_bytes <= bound, format!("catching up cost more than {bound:.0} bytes"));
    fleet.stop();
    Ok(findings)
}

fn set_frozen(fleet: &mut ScaleFleet, name: &str, frozen: bool) {
    if let Some(process) = fleet.running.processes.get_mut(name) {
        match frozen {
            true => process.freeze(),
            false => process.resume(),
        }
    }
}
