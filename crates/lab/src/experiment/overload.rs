//! Goodput when the offered load exceeds the capacity of the backends.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::ServiceShape;
use crate::stand_in::caller::RunningLoad;
use std::time::Duration;

const SERVICE: &str = "fares";
/// Two backends with four slots each and 10 ms per call.
const CAPACITY_PER_S: f64 = 800.0;
const LOAD_FACTORS: [f64; 5] = [0.5, 0.8, 1.0, 2.0, 4.0];
const DEADLINE: Duration = Duration::from_millis(250);
const RUN_TIME: Duration = Duration::from_secs(8);
const CALLER_THREADS: usize = 480;
/// Smallest allowed goodput under overload, as a share of the peak.
const MIN_SHARE_OF_PEAK: f64 = 0.9;

/// Runs the experiment.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::reads(SERVICE, 4, 512)];
    let options = ["--slots", "4", "--work-us", "10000"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), fleets::spec(1, 1), &services, 2, &options)?;
    let targets = fleets::proxy_addresses(&fleet);
    let mut findings = Findings::new("overload", "calls offered, per second", "calls, per second");
    let mut goodput = Series { name: "answered in time".to_owned(), points: Vec::new() };
    let mut late = Series { name: "answered too late".to_owned(), points: Vec::new() };
    for load in LOAD_FACTORS {
        let rate = load * CAPACITY_PER_S;
        let mut plan = fleets::read_load(SERVICE, targets.clone(), CALLER_THREADS, rate);
        plan.deadline = Some(DEADLINE);
        let running_load = RunningLoad::start(&plan);
        std::thread::sleep(RUN_TIME);
        let tally = running_load.finish();
        let seconds = RUN_TIME.as_secs_f64();
        let goodput_per_s = tally.answered as f64 / seconds;
        findings.set(format!("goodput_at_{load}_times_capacity_per_s"), goodput_per_s);
        findings.set(format!("late_at_{load}_times_capacity_per_s"), tally.late as f64 / seconds);
        findings.set(
            format!("answered_p99_at_{load}_times_capacity_ms"),
            tally.latency.value_at_quantile(0.99) as f64 / 1_000.0,
        );
        goodput.points.push((rate, goodput_per_s));
        late.points.push((rate, tally.late as f64 / seconds));
        let not_run = tally.refused.keys().all(|verdict| verdict == "not-run");
        findings.check(not_run, format!("refused at {load} times: {:?}", tally.refused));
        findings.check(tally.wrong + tally.cut == 0, format!("failed: {:?}", tally.examples));
    }
    fleet.stop_all();
    let peak = goodput.points.iter().map(|point| point.1).fold(0.0, f64::max);
    for (rate, goodput_per_s) in goodput.points.iter().filter(|(rate, _)| *rate > CAPACITY_PER_S) {
        let share = goodput_per_s / peak;
        findings.set(format!("share_of_peak_at_{rate:.0}_per_s"), share);
        findings
            .check(share >= MIN_SHARE_OF_PEAK, format!("goodput fell to {share:.2} of the peak"));
    }
    findings.series = vec![goodput, late];
    Ok(findings)
}
