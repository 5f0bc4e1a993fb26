//! Goodput when more is asked than the back ends can do.

use super::fleets;
use super::{Findings, Series};
use crate::fleet::ServiceShape;
use crate::stand_in::caller::RunningLoad;
use std::time::Duration;

const SERVICE: &str = "fares";
/// Two back ends with four slots of 10 ms each.
const CAPACITY_PER_S: f64 = 800.0;
const LOADS: [f64; 5] = [0.5, 0.8, 1.0, 2.0, 4.0];
const DEADLINE: Duration = Duration::from_millis(250);
const RUN_TIME: Duration = Duration::from_secs(8);
const THREADS: usize = 480;
/// Goodput above capacity must stay at or above this share of the peak.
const LEAST_SHARE: f64 = 0.9;

/// Runs it.
pub fn run() -> Result<Findings, crate::Failure> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let services = [ServiceShape::reads(SERVICE, 4, 512)];
    let options = ["--slots", "4", "--work-us", "10000"].map(str::to_owned);
    let mut fleet = fleets::start(folder.path(), fleets::spec(1, 1), &services, 2, &options)?;
    let targets = fleets::proxy_addresses(&fleet);
    let mut findings = Findings::new("overload", "calls offered, per second", "calls, per second");
    let mut goodput = Series { name: "answered in time".to_owned(), points: Vec::new() };
    let mut late = Series { name: "answered too late".to_owned(), points: Vec::new() };
    for load in LOADS {
        let rate = load * CAPACITY_PER_S;
        let mut plan = fleets::reads(SERVICE, targets.clone(), THREADS, rate);
        plan.deadline = Some(DEADLINE);
        let running = RunningLoad::start(&plan);
        std::thread::sleep(RUN_TIME);
        let tally = running.finish();
        let seconds = RUN_TIME.as_secs_f64();
        let good = tally.answered as f64 / seconds;
        findings.set(format!("goodput_at_{load}_times_capacity_per_s"), good);
        findings.set(format!("late_at_{load}_times_capacity_per_s"), tally.late as f64 / seconds);
        findings.set(
            format!("answered_p99_at_{load}_times_capacity_ms"),
            tally.latency.value_at_quantile(0.99) as f64 / 1_000.0,
        );
        goodput.points.push((rate, good));
        late.points.push((rate, tally.late as f64 / seconds));
        let not_run = tally.refused.keys().all(|verdict| verdict == "not-run");
        findings.check(not_run, format!("refused at {load} times: {:?}", tally.refused));
        findings.check(tally.wrong + tally.cut == 0, format!("failed: {:?}", tally.examples));
    }
    fleet.stop_all();
    let peak = goodput.points.iter().map(|point| point.1).fold(0.0, f64::max);
    for (rate, good) in goodput.points.iter().filter(|(rate, _)| *rate > CAPACITY_PER_S) {
        let share = good / peak;
        findings.set(format!("share_of_peak_at_{rate:.0}_per_s"), share);
        findings.check(share >= LEAST_SHARE, format!("goodput fell to {share:.2} of the peak"));
    }
    findings.series = vec![goodput, late];
    Ok(findings)
}
