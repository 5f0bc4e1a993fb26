//! Real processes: a departure that a sidecar acknowledged binds the fleet, also if the sidecar was
//! restarted or cut off from the coordinators around it.

mod fleet;

use fleet::cut::CuttableLinks;
use fleet::{agent, wait_until, Fleet, RunningProcess, Upstream, SERVICE};
use std::fs;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const CALLER: u8 = 11;
const UPSTREAM: u8 = 12;
/// Time until an acknowledged departure closes the upstream, as the fleet's settings say.
const DRAIN: Duration = Duration::from_millis(1_000);
/// Calls that are sent after it, one after the other.
const LATE_CALLS: u32 = 60;

/// A fleet with one calling machine, and one upstream whose sidecar can be cut off.
struct World {
    fleet: Fleet,
    links: CuttableLinks,
    /// Where the sidecar beside the upstream reaches the coordinators.
    mesh_port: u16,
    upstream: Arc<Upstream>,
    beside: Option<RunningProcess>,
    coordinators: Vec<RunningProcess>,
    _caller: RunningProcess,
}

impl World {
    /// Starts a fleet in which the sidecar beside the upstream can be cut off.
    fn start(network: u8) -> Self {
        Self::start_linked(network, |_, links| links.mesh_port)
    }

    /// Starts a fleet without anything between sidecars and coordinators.
    fn start_linked_directly(network: u8) -> Self {
        Self::start_linked(network, |fleet, _| fleet.ports.mesh)
    }

    fn start_linked(network: u8, mesh_port: impl Fn(&Fleet, &CuttableLinks) -> u16) -> Self {
        let fleet = Fleet::new(network);
        let coordinators = (1..=3).map(|host| fleet.start_coordinator(host, true)).collect();
        let caller = fleet.start_sidecar(CALLER, "callers");
        let coordinator_ips = [1, 2, 3].map(|host| fleet.ip(host));
        let links = CuttableLinks::start(&coordinator_ips, fleet.ports.cut, fleet.ports.mesh)
            .expect("free ports");
        let mesh_port = mesh_port(&fleet, &links);
        let upstream = fleet.start_upstream(UPSTREAM);
        let mut world = World {
            fleet,
            links,
            mesh_port,
            upstream,
            beside: None,
            coordinators,
            _caller: caller,
        };
        world.start_sidecar_beside();
        let fleet = &world.fleet;
        wait_until("the first configuration is accepted", || {
            fleet.put_configuration(2, 0, 5, "one") == Some(200)
        });
        wait_until("the upstream registers", || fleet.register(UPSTREAM, "i-1", 1, false));
        wait_until("a call is served", || world.is_served());
        world
    }

    fn start_sidecar_beside(&mut self) {
        self.beside = Some(self.fleet.start_sidecar_at(UPSTREAM, SERVICE, self.mesh_port));
    }

    fn kill_sidecar_beside(&mut self) {
        drop(self.beside.take());
    }

    fn is_served(&self) -> bool {
        self.fleet.call(CALLER, "/one/x").is_some_and(|(status, _)| status == 200)
    }

    /// The upstream reports that it leaves until that is acknowledged; it goes on serving.
    fn leave(&self) {
        let (ip, port) = (self.fleet.ip(UPSTREAM), self.fleet.ports.registration);
        let url = format!("http://{ip}:{port}/v1/instances/i-1/leave");
        wait_until("the departure is acknowledged", || {
            agent().post(&url).send("").is_ok_and(|answer| answer.status() == 200)
        });
    }

    fn beside(&self) -> &RunningProcess {
        self.beside.as_ref().expect("it runs")
    }

    /// Kills all coordinators and the sidecar beside the upstream at one moment, and starts them again.
    fn kill_and_start_all(&mut self, without_disk: Option<u8>) {
        self.coordinators.clear();
        self.kill_sidecar_beside();
        if let Some(host) = without_disk {
            fs::remove_dir_all(self.fleet.data_dir(host)).expect("the disk is lost");
        }
        let fleet = &self.fleet;
        let start = |host| fleet.start_coordinator(host, without_disk != Some(host));
        self.coordinators = (1..=3).map(start).collect();
        self.start_sidecar_beside();
    }

    /// Whether the calling machine applied the second configuration.
    fn is_applied_by_caller(&self) -> bool {
        let node = format!("node={}:", self.fleet.ip(CALLER));
        let parts = ["generation_applied", node.as_str(), "generation=2"];
        self.coordinators.iter().any(|coordinator| coordinator.has_logged(&parts))
    }

    /// Whether all coordinators gave up the link of the sidecar beside the upstream.
    fn is_given_up(&self) -> bool {
        let node = format!("node={}:", self.fleet.ip(UPSTREAM));
        let parts = ["sidecar_disconnected", node.as_str()];
        self.coordinators.iter().all(|coordinator| coordinator.has_logged(&parts))
    }

    /// Checks that the departure binds, and that the next upstream is served.
    fn check_departed(&self) {
        assert_eq!(self.late_runs(), 0);
        wait_until("the next upstream registers", || {
            self.fleet.register(UPSTREAM, "i-2", 1, false)
        });
        wait_until("it is served", || self.is_served());
    }

    /// Number of calls that reach the upstream after the drain time, once its sidecar is linked.
    fn late_runs(&self) -> u64 {
        std::thread::sleep(DRAIN);
        wait_until("the sidecar is linked", || self.fleet.is_ready(UPSTREAM));
        let before = self.upstream.request_count.load(Ordering::SeqCst);
        for _ in 0..LATE_CALLS {
            self.fleet.call(CALLER, "/one/late");
            std::thread::sleep(Duration::from_millis(20));
        }
        self.upstream.request_count.load(Ordering::SeqCst) - before
    }
}

/// Guards against a leave that a restarted sidecar acknowledges and forgets: coordinators then told it
/// that the upstream was ready, and the fleet called it as long as it lived.
#[test]
fn a_leave_that_a_restarted_sidecar_acknowledges_binds_after_the_cut() {
    let mut world = World::start(18);
    world.links.cut();
    world.kill_sidecar_beside();
    world.start_sidecar_beside();
    world.leave();
    world.links.join();
    world.check_departed();
}

/// Guards against a leave that a cut-off sidecar acknowledges although no coordinator holds it: killed
/// before the cut was over, its next process took the upstream for ready from the coordinators' record.
#[test]
fn a_leave_that_a_cut_off_sidecar_acknowledges_binds_its_next_process() {
    let mut world = World::start(19);
    world.links.cut();
    world.leave();
    world.kill_sidecar_beside();
    world.start_sidecar_beside();
    world.links.join();
    world.check_departed();
}

/// Guards against a restart that forgets a ready upstream: a process that is killed before it has read
/// everything resets its links, which vouched for nothing, and the fleet waited for a heartbeat.
#[test]
fn a_sidecar_that_is_killed_with_unread_frames_still_knows_its_upstream() {
    let mut world = World::start_linked_directly(20);
    world.beside().signal("-STOP");
    world.fleet.put_configuration_until_decided(1, 5, 6, "one");
    wait_until("the configuration was sent to all", || world.is_applied_by_caller());
    world.kill_sidecar_beside();
    world.start_sidecar_beside();
    wait_until("calls are served without a new heartbeat", || world.is_served());
    assert!(world.beside().has_logged(&["instance_restored"]));
}

/// Guards against a record from before a cut that opens the gate, and against a heartbeat from before it that
/// arrives late: the process may have acknowledged a departure since. One that left sends no second one.
#[test]
fn a_record_from_before_a_cut_waits_for_heartbeats() {
    let mut world = World::start(25);
    world.links.cut();
    wait_until("the links are given up", || world.is_given_up());
    world.kill_sidecar_beside();
    world.start_sidecar_beside();
    world.links.join();
    wait_until("the record is not trusted", || world.beside().has_logged(&["instance_awaited"]));
    assert!(!world.is_served());
    assert!(world.fleet.register(UPSTREAM, "i-1", 2, false));
    wait_until("it is held", || world.beside().has_logged(&["heartbeat_held", "sequence=2"]));
    assert!(!world.is_served());
    let mut sequence = 2;
    wait_until("the next heartbeats open the gate", || {
        sequence += 1;
        world.fleet.register(UPSTREAM, "i-1", sequence, false) && world.is_served()
    });
}

/// Guards against a departure that only memory holds: the core and the sidecar were killed at one moment,
/// and a heartbeat that was sent before the leave opened the gate of the next process.
#[test]
fn a_leave_outlives_the_whole_core_and_a_late_heartbeat_changes_nothing() {
    let mut world = World::start_linked_directly(27);
    world.leave();
    world.kill_and_start_all(None);
    wait_until("a late heartbeat arrives", || world.fleet.register(UPSTREAM, "i-1", 1, false));
    world.check_departed();
}

/// The same for a drain that a heartbeat announced, while one of the disks is lost.
#[test]
fn a_drain_outlives_the_whole_core_and_one_disk() {
    let mut world = World::start_linked_directly(28);
    wait_until("the drain is acknowledged", || world.fleet.register(UPSTREAM, "i-1", 3, true));
    world.kill_and_start_all(Some(2));
    wait_until("a late heartbeat arrives", || world.fleet.register(UPSTREAM, "i-1", 2, false));
    world.check_departed();
}
