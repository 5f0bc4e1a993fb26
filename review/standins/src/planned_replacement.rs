//! A core machine is replaced as planned: its successor starts first and has its time to catch up,
//! then the machine is stopped and taken away. Right after that, another core machine loses its disk
//! when it has acknowledged a configuration.

use crate::configuration::{document, Route};
use crate::fleet::{Fleet, Machine};
use crate::http;
use crate::record::Record;
use crate::Outcome;
use std::thread;
use std::time::{Duration, Instant};

/// `CatchUpS` of the small deployments, and a little more.
const CATCH_UP: Duration = Duration::from_millis(4_500);
/// Time between the end of the machine that is replaced and the next change.
const CALM: Duration = Duration::from_secs(1);
/// How long the machine that lost its disk is down.
const DOWN: Duration = Duration::from_millis(500);
/// `RecoveryS`, and `CatchUpS` for the machine that came back.
const RECOVERY: Duration = Duration::from_secs(15 + 4);
/// How long the operator asks at the end; at least `ContactMs`.
const READING: Duration = Duration::from_secs(10);

pub fn run(record: &Record, trouble: bool) -> Result<Outcome, String> {
    let text = |error: std::io::Error| error.to_string();
    let fleet = Fleet::new(record, "planned-replacement").map_err(text)?;
    let mut core = fleet.core();
    for machine in &core {
        fleet.start(machine, true).map_err(text)?;
    }
    let services = ["orderdesk"];
    let route = |name, prefix| Route { name, prefix, kind: "safe", service: "orderdesk" };
    let first = document(1, &services, &[route("r-first", "/first/")]);
    fleet.configure(&core, 1, 0, &first).ok_or("the first configuration was not acknowledged")?;
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let successor =
            Machine { name: "core-4".to_owned(), ip: fleet.ip(1, 4), ..core[0].clone() };
        fleet.start(&successor, false).map_err(text)?;
        thread::sleep(CATCH_UP);
        record.note("core-1 is stopped with SIGTERM and taken away; core-4 has had its time");
        let removed = core.remove(0);
        if !fleet.stop(&removed, Duration::from_secs(crate::fleet::GRACE_S)) {
            return Err("core-1 did not stop".to_owned());
        }
        core.push(successor);
        thread::sleep(CALM);
    }
    let second =
        document(2, &services, &[route("r-first", "/first/"), route("r-second", "/second/")]);
    let leader = fleet
        .configure(&core, 2, 1, &second)
        .ok_or("the second configuration was not acknowledged")?;
    if trouble {
        let lost = core
            .iter()
            .find(|machine| fleet.address(machine, fleet.ports.control) == leader)
            .cloned()
            .ok_or("an unknown machine acknowledged")?;
        fleet.kill(&lost);
        fleet.lose_disk(&lost).map_err(text)?;
        thread::sleep(DOWN);
        fleet.start(&lost, false).map_err(text)?;
        thread::sleep(RECOVERY);
    }
    let end = Instant::now() + READING;
    let (mut asked, mut newest, mut older) = (0, false, false);
    while Instant::now() < end && !newest && !older {
        for machine in &core {
            let address = fleet.address(machine, fleet.ports.control);
            let answer = read(address);
            asked += 1;
            record.note(match &answer {
                Some((status, generation)) => {
                    format!("{} answers the read with {status} {generation}", machine.name)
                }
                None => format!("{} does not answer the read", machine.name),
            });
            if let Some((200, generation)) = answer {
                newest |= generation == "00000002";
                older |= generation != "00000002";
            }
        }
        thread::sleep(Duration::from_millis(400));
    }
    record.note(format!(
        "configuration 00000002 was acknowledged; reads {asked}, answered with it: {newest}, with \
         an older one: {older}"
    ));
    Ok(if newest && !older { Outcome::Held } else { Outcome::Broken })
}

/// Reads the configuration; the status and the generation.
fn read(address: std::net::SocketAddr) -> Option<(u16, String)> {
    let mut target = address;
    for _ in 0..3 {
        let head = format!(
            "POST /-/rpc?call=config.get HTTP/1.1\r\nHost: {target}\r\n\
             Content-Type: application/json\r\n"
        );
        let answer = http::call(target, &head, &[], Duration::from_secs(1)).ok()?;
        let status = answer.head.status();
        if status == 307 {
            target = http::redirect_target(&answer.head)?;
            continue;
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let generation = body.split("\"Generation\":\"").nth(1).and_then(|rest| rest.get(..8));
        return Some((status, generation.unwrap_or("").to_owned()));
    }
    None
}
