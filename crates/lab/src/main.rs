//! Test lab: simulation, fault injection and benchmarks that run the product against stubs of the
//! callers, backends and platform around it.
#![forbid(unsafe_code)]

mod demo;
mod experiment;
mod fleet;
mod hollow;
mod scale;
mod sim;
mod soak;
mod stand_in;

use std::process::ExitCode;

const USAGE: &str = "\
chutecove-lab: stand-ins, faults, measurements

Usage: chutecove-lab COMMAND [OPTIONS]

  demo               a whole fleet in separate processes, with calls, rollouts and a drain
  sim                the cores in virtual time, with seeded faults and checks
  soak               a small fleet of real processes under seeded faults, checked while it runs
  scale              a large fleet with hollow proxies, measured through changes and faults
  experiment         one question, measured, compared and drawn
  report             all findings of a folder on one page
  hollow             many hollow proxies in one process (started by the other commands)
  backend            one stand-in back end (started by the other commands)
  product ...        the product's own command line, in this binary
";

/// Error message of a command, printed to the user.
type Failure = String;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = arguments.split_first() else {
        eprint!("{USAGE}");
        return ExitCode::from(2);
    };
    let result = match command.as_str() {
        "product" => return chutecove::run_cli(rest),
        "demo" => demo::run(rest),
        "experiment" => experiment::run(rest),
        "report" => experiment::report::run(rest),
        "scale" => scale::run(rest),
        "hollow" => hollow::run(rest),
        "sim" => sim::run(rest),
        "soak" => soak::run(rest),
        "backend" => stand_in::backend::run(rest),
        "--help" | "-h" | "help" => {
            print!("{USAGE}");
            Ok(())
        }
        other => Err(format!("unknown command '{other}'\n\n{USAGE}")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}
