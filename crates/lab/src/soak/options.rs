//! Command-line options of a soak.

use getopts::{Matches, Options};
use std::fmt::Display;
use std::str::FromStr;
use std::time::{Duration, Instant};

const BRIEF: &str = "\
Usage: chutecove-lab soak [--minutes N]                    fresh seeds
       chutecove-lab soak --seed S [--rounds N] [--network K] [--clear | --lose-answers | --limits |
                                    --departures | --planned | --rolls | --removals]
                                                           seeds S, S+1, ...

Rounds that run at the same time need networks (1 to 200) of their own.";
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Which faults a round injects.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FaultProfile {
    /// Random faults drawn from the seed.
    Random,
    /// Random faults while an operator clears the quarantine.
    RandomWithClearing,
    /// Lost responses while series of processes are killed.
    LostAnswers,
    /// Upstreams state limits and that they leave while processes are killed.
    Statements,
    /// Upstreams of one machine leave while it is cut off and its sidecar is killed.
    Departures,
    /// Stops, reloads, new versions and departures as planned, and nothing else.
    Planned,
    /// All sidecars are stopped in turn, again and again; stops overlap.
    Rolls,
    /// Core machines are replaced for good, with and without a signal, and disks are lost.
    Removals,
}

impl FaultProfile {
    /// Whether all that happens is planned work.
    pub fn is_planned(self) -> bool {
        matches!(self, Self::Planned | Self::Rolls)
    }
}

/// Which rounds are run.
pub enum Rounds {
    /// `count` rounds with consecutive seeds from `seed` on.
    Consecutive { seed: u64, count: u64 },
    /// Rounds with random seeds for this duration.
    Timed(Duration),
}

/// Parsed options of a soak.
pub struct Plan {
    pub rounds: Rounds,
    /// Third octet of the loopback addresses of the fleets.
    pub network: u8,
    pub fault_profile: FaultProfile,
}

impl Plan {
    /// Parses the arguments; returns `None` if the help text was requested.
    pub fn parse(arguments: &[String]) -> Result<Option<Self>, crate::Failure> {
        let matches = options().parse(arguments).map_err(|error| error.to_string())?;
        if matches.opt_present("help") {
            return Ok(None);
        }
        let count = number_option(&matches, "rounds", 1)?;
        let minutes: f64 = number_option(&matches, "minutes", 1.0)?;
        let seed: Option<u64> =
            matches.opt_get("seed").map_err(|error| format!("--seed: {error}"))?;
        let rounds = match seed {
            Some(seed) => Rounds::Consecutive { seed, count },
            None => Rounds::Timed(Duration::from_secs_f64(minutes * SECONDS_PER_MINUTE)),
        };
        let fault_profile = match &matches {
            matches if matches.opt_present("limits") => FaultProfile::Statements,
            matches if matches.opt_present("departures") => FaultProfile::Departures,
            matches if matches.opt_present("planned") => FaultProfile::Planned,
            matches if matches.opt_present("rolls") => FaultProfile::Rolls,
            matches if matches.opt_present("removals") => FaultProfile::Removals,
            matches if matches.opt_present("lose-answers") => FaultProfile::LostAnswers,
            matches if matches.opt_present("clear") => FaultProfile::RandomWithClearing,
            _ => FaultProfile::Random,
        };
        Ok(Some(Plan { rounds, network: number_option(&matches, "network", 1)?, fault_profile }))
    }

    /// Returns the seeds of the rounds; random ones are drawn until the duration has passed.
    pub fn seeds(&self) -> Box<dyn Iterator<Item = u64>> {
        match self.rounds {
            Rounds::Consecutive { seed, count } => Box::new(seed..seed + count),
            Rounds::Timed(duration) => {
                let end = Instant::now() + duration;
                let random_seeds = std::iter::repeat_with(|| fastrand::u64(..));
                Box::new(random_seeds.take_while(move |_| Instant::now() < end))
            }
        }
    }
}

/// Returns the help text.
pub fn usage() -> String {
    options().usage(BRIEF)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "minutes", "how long (1)", "N");
    options.optopt("", "seed", "the round of this seed", "S");
    options.optopt("", "rounds", "rounds from that seed on (1)", "N");
    options.optopt("", "network", "addresses 127.x.K.y of the fleets (1)", "K");
    options.optflag("", "clear", "an operator clears what is in quarantine meanwhile");
    options.optflag("", "lose-answers", "answers are lost while processes end, and nothing else");
    options.optflag("", "limits", "upstreams state limits and that they leave, in their answers");
    options.optflag("", "departures", "upstreams leave while their machine is cut off and killed");
    options.optflag("", "planned", "stops, reloads, versions and departures as planned, no faults");
    options.optflag("", "rolls", "all sidecars are stopped in turn, and stops overlap");
    options.optflag("", "removals", "core machines are replaced for good, and disks are lost");
    options.optflag("h", "help", "print this text");
    options
}

fn number_option<T>(matches: &Matches, name: &str, default: T) -> Result<T, crate::Failure>
where
    T: FromStr,
    T::Err: Display,
{
    matches.opt_get_default(name, default).map_err(|error| format!("--{name}: {error}"))
}
