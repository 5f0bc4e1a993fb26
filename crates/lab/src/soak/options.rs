//! What is asked of a soak on the command line.

use getopts::{Matches, Options};
use std::fmt::Display;
use std::str::FromStr;
use std::time::{Duration, Instant};

const BRIEF: &str = "\
Usage: chutecove-lab soak [--minutes N]                    fresh seeds
       chutecove-lab soak --seed S [--rounds N] [--network K] [--clear | --lose-answers]
                                                           seeds S, S+1, ...

Rounds that run at the same time need networks (1 to 200) of their own.";
const SECONDS_PER_MINUTE: f64 = 60.0;

/// What a round strikes with.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Strain {
    /// Drawn faults.
    Faults,
    /// The same, while an operator clears what is in quarantine.
    Clearings,
    /// Lost answers, while processes end in series.
    LostAnswers,
}

/// Which rounds are played.
pub enum Rounds {
    /// So many, from this seed on.
    From { seed: u64, count: u64 },
    /// Fresh seeds for a time.
    For(Duration),
}

/// What a soak plays.
pub struct Plan {
    pub rounds: Rounds,
    /// Addresses of the fleets.
    pub network: u8,
    pub strain: Strain,
}

impl Plan {
    /// Reads the arguments; `None` asks for the usage.
    pub fn parse(arguments: &[String]) -> Result<Option<Self>, crate::Failure> {
        let matches = options().parse(arguments).map_err(|error| error.to_string())?;
        if matches.opt_present("help") {
            return Ok(None);
        }
        let count = number(&matches, "rounds", 1)?;
        let minutes: f64 = number(&matches, "minutes", 1.0)?;
        let seed: Option<u64> =
            matches.opt_get("seed").map_err(|error| format!("--seed: {error}"))?;
        let rounds = match seed {
            Some(seed) => Rounds::From { seed, count },
            None => Rounds::For(Duration::from_secs_f64(minutes * SECONDS_PER_MINUTE)),
        };
        let strain = match (matches.opt_present("clear"), matches.opt_present("lose-answers")) {
            (_, true) => Strain::LostAnswers,
            (true, false) => Strain::Clearings,
            (false, false) => Strain::Faults,
        };
        Ok(Some(Plan { rounds, network: number(&matches, "network", 1)?, strain }))
    }

    /// The seeds of its rounds; fresh ones are drawn until the time is over.
    pub fn seeds(&self) -> Box<dyn Iterator<Item = u64>> {
        match self.rounds {
            Rounds::From { seed, count } => Box::new(seed..seed + count),
            Rounds::For(time) => {
                let end = Instant::now() + time;
                let fresh = std::iter::repeat_with(|| fastrand::u64(..));
                Box::new(fresh.take_while(move |_| Instant::now() < end))
            }
        }
    }
}

/// What may be asked.
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
    options.optflag("h", "help", "print this text");
    options
}

fn number<T>(matches: &Matches, name: &str, default: T) -> Result<T, crate::Failure>
where
    T: FromStr,
    T::Err: Display,
{
    matches.opt_get_default(name, default).map_err(|error| format!("--{name}: {error}"))
}
