//! A core machine is removed for good, after its successor has had its time; then another one loses
//! its disk right after it has acknowledged a configuration. What was acknowledged must come back.

use crate::fleet::Fleet;
use crate::operator::{read, replace, Route};
use crate::record::Record;
use crate::Outcome;
use std::io;
use std::thread;
use std::time::Duration;

/// Core machines at the start.
const CORES: u8 = 3;
const REMOVED: u8 = 1;
const SUCCESSOR: u8 = 4;
/// The successor starts this long before the other machine is removed; `CatchUpS` is 4.
const CATCH_UP: Duration = Duration::from_millis(4_500);
/// From the removal to the next configuration.
const UNTIL_CHANGE: Duration = Duration::from_secs(1);
/// How long the machine that loses its disk is down.
const DOWN: Duration = Duration::from_secs(1);
/// `RecoveryS` and `CatchUpS`, then the time in which the operator asks.
const RECOVERY: Duration = Duration::from_secs(19);
const ASKS: usize = 40;

pub fn run(trouble: bool, record: &Record) -> io::Result<Outcome> {
    let mut fleet = Fleet::new(CORES, &[SUCCESSOR])?;
    for host in 1..=CORES {
        fleet.set_up_core(host, true)?;
        fleet.start(host, "coordinator")?;
    }
    let mut nodes: Vec<u8> = fleet.cores().collect();
    if replace(&fleet, &nodes, 1, &routes(2_000), record).is_none() {
        return Ok(Outcome::NotRun("the first configuration was not taken"));
    }
    thread::sleep(Duration::from_secs(5));
    fleet.set_up_core(SUCCESSOR, false)?;
    fleet.start(SUCCESSOR, "coordinator")?;
    record.say(&format!("the successor, host {SUCCESSOR}, started at {:.3}", record.now()));
    nodes.push(SUCCESSOR);
    thread::sleep(CATCH_UP);
    if trouble {
        fleet.kill(&[REMOVED]);
        nodes.retain(|host| *host != REMOVED);
        record.say(&format!("host {REMOVED} is removed for good at {:.3}", record.now()));
    }
    thread::sleep(UNTIL_CHANGE);
    let Some(host) = replace(&fleet, &nodes, 2, &routes(2_500), record) else {
        return Ok(Outcome::NotRun("the second configuration was not acknowledged"));
    };
    record.say(&format!("version 2 was acknowledged by host {host} at {:.3}", record.now()));
    if trouble {
        fleet.kill(&[host]);
        fleet.lose_disk(host)?;
        record.say(&format!("host {host} has lost power and its disk at {:.3}", record.now()));
        thread::sleep(DOWN);
        fleet.set_up_core(host, false)?;
        fleet.start(host, "coordinator")?;
        record.say(&format!("host {host} is back with an empty disk at {:.3}", record.now()));
    }
    thread::sleep(RECOVERY);
    let mut newest = None;
    for ask in 0..ASKS {
        newest = newest.max(read(&fleet, nodes[ask % nodes.len()], record));
        if newest >= Some(2) {
            break;
        }
        thread::sleep(Duration::from_millis(250));
    }
    for host in &nodes {
        let words = ["leader_changed", "membership", "change_", "vote", "member"];
        fleet.note_log(*host, &words, record);
    }
    record.say(&format!("the newest configuration that was read back: {newest:?}"));
    Ok(if newest >= Some(2) { Outcome::Held } else { Outcome::Broken })
}

fn routes(timeout_ms: u32) -> [Route<'static>; 1] {
    [Route {
        prefix: "/comentario/",
        kind: "safe",
        service: "narrador",
        timeout_ms,
        target_ms: 300,
    }]
}
