//! What upstreams state in their answers binds every sidecar that passes the answers on, also after the
//! sidecar beside the upstream was restarted: a limit on their calls, and that they are leaving.

mod fleet;

use fleet::callers::Caller;
use fleet::{wait_until, Fleet, RunningProcess, SERVICE};
use soak::{
    check_record, Bounds, Guarantee, LimitBounds, LimitStatement, Record, RepeatBounds, Violation,
};
use std::time::Duration;

const UPSTREAM: u8 = 12;
const CALLERS: [u8; 2] = [11, 13];
const THREADS_PER_CALLER: usize = 3;
const LIMIT_PER_S: f64 = 5.0;
const BOUNDS: Bounds = Bounds {
    apply: 2_000,
    drain: 1_000,
    loss_slack: 200,
    stop_limit: 0,
    route_timeout: 0,
    settle: 3_500,
    repeats: RepeatBounds { ratio: 0.2, slack: 50.0, window: 10_000 },
    limits: LimitBounds { factor: 1.5, slack: 5.0, window: 4_000, contact: 3_000, notice: 500 },
};
/// Longer than a window of the check before, and again after, the restart.
const HALF_OF_THE_RUN: Duration = Duration::from_millis(5_000);

/// A fleet with one upstream and two calling machines.
struct World {
    fleet: Fleet,
    _coordinators: Vec<RunningProcess>,
    _callers: Vec<RunningProcess>,
    beside: Option<RunningProcess>,
}

impl World {
    fn start(network: u8) -> Self {
        let fleet = Fleet::new(network);
        let coordinators = (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
        let start_caller = |host| fleet.start_sidecar(host, &format!("callers-{host}"));
        let callers = CALLERS.map(start_caller).into_iter().collect();
        let beside = Some(fleet.start_sidecar(UPSTREAM, SERVICE));
        World { fleet, _coordinators: coordinators, _callers: callers, beside }
    }

    fn wait_until_served(&self) {
        let fleet = &self.fleet;
        wait_until("the first configuration is accepted", || {
            fleet.put_configuration(2, 0, 5, "one") == Some(200)
        });
        wait_until("the upstream registers", || fleet.register(UPSTREAM, "i-1", 1, false));
        for host in CALLERS {
            wait_until("a call is served", || {
                fleet.call(host, "/one/x").is_some_and(|(status, _)| status == 200)
            });
        }
    }

    fn restart_sidecar_beside(&mut self) {
        drop(self.beside.take());
        self.beside = Some(self.fleet.start_sidecar(UPSTREAM, SERVICE));
    }
}

fn violations(record: &Record, guarantee: Guarantee) -> Vec<Violation> {
    let all = check_record(record, &BOUNDS);
    all.into_iter().filter(|violation| violation.guarantee == guarantee).collect()
}

#[test]
fn an_upstream_gets_no_more_calls_than_the_limit_it_states() {
    let mut world = World::start(16);
    let upstream = world.fleet.start_upstream(UPSTREAM);
    world.wait_until_served();
    upstream.state("X-Chutecove-Rate-Limit", &LIMIT_PER_S.to_string());
    let stated_at = upstream.clock.now();
    let callers = Caller::start_all(&world.fleet, &upstream, &CALLERS, THREADS_PER_CALLER);
    std::thread::sleep(HALF_OF_THE_RUN);
    world.restart_sidecar_beside();
    wait_until("the sidecar is ready again", || world.fleet.is_ready(UPSTREAM));
    std::thread::sleep(HALF_OF_THE_RUN);
    let mut record = callers.finish();
    record.limits.push(LimitStatement {
        machine: UPSTREAM,
        incarnation: 1,
        at: stated_at,
        per_s: Some(LIMIT_PER_S),
    });
    assert!(!record.passed_on.is_empty(), "callers see what the upstream states");
    assert_eq!(violations(&record, Guarantee::LimitKept), []);
}

#[test]
fn no_machine_calls_an_upstream_that_it_passed_on_is_leaving() {
    let mut world = World::start(17);
    let upstream = world.fleet.start_upstream(UPSTREAM);
    world.wait_until_served();
    upstream.state("X-Chutecove-Leaving", "1");
    let callers = Caller::start_all(&world.fleet, &upstream, &CALLERS, THREADS_PER_CALLER);
    wait_until("each machine passed it on", || callers.have_all_passed_on(&CALLERS));
    world.restart_sidecar_beside();
    wait_until("the sidecar is ready again", || world.fleet.is_ready(UPSTREAM));
    wait_until("a late heartbeat arrives", || world.fleet.register(UPSTREAM, "i-1", 2, false));
    std::thread::sleep(HALF_OF_THE_RUN);
    let record = callers.finish();
    assert_eq!(violations(&record, Guarantee::Drained), []);
}
