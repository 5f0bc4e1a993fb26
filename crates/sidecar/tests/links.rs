//! Which coordinator tells a sidecar of the others, against stand-ins on loopback addresses.

use bundle::{best_update, Bundle, Digest};
use mesh::{
    decode_frame, encode_frame, Greeting, MemberPlace, NodeAddress, NodeRecord, ToCoordinator,
    ToSidecar, VersionPolicy,
};
use sidecar::{LinkEvent, Links, Net};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

const OWN_ZONE: &str = "zone-a";
/// Turns of a loop of ten milliseconds; a condition that does not come fails the test.
const MOST_TURNS: usize = 500;
/// Longer than a coordinator may be silent and stay the only one that is subscribed to.
const SUSPECT_MS: u64 = 1_600;

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, host)
}

fn record(host: u8, zone: &str) -> NodeRecord {
    NodeRecord {
        address: NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 },
        life: 1,
        sequence: 1,
        zone: zone.to_owned(),
        service: "s".to_owned(),
        stopping: false,
        instance: None,
    }
}

/// A stand-in for a coordinator.
struct Coordinator {
    listener: TcpListener,
    stream: Option<TcpStream>,
    input: Vec<u8>,
    greeted: bool,
    heard: Vec<ToCoordinator>,
}

impl Coordinator {
    fn listen(host: u8, port: u16) -> Self {
        let listener = TcpListener::bind((ip(host), port)).expect("a loopback address");
        listener.set_nonblocking(true).expect("a socket option");
        Coordinator { listener, stream: None, input: Vec::new(), greeted: false, heard: Vec::new() }
    }

    /// Its process ends and another listens in its place.
    fn restart(&mut self) {
        self.stream = None;
        self.input.clear();
        self.greeted = false;
        self.heard.clear();
    }

    fn port(&self) -> u16 {
        self.listener.local_addr().expect("a bound socket").port()
    }

    fn turn(&mut self) {
        if self.stream.is_none() {
            let Ok((stream, _)) = self.listener.accept() else {
                return;
            };
            stream.set_nonblocking(true).expect("a socket option");
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().expect("accepted above");
        let mut piece = [0; 4_096];
        match stream.read(&mut piece) {
            Ok(count) => self.input.extend_from_slice(&piece[..count]),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        if !self.greeted {
            let greeting = decode_frame::<Greeting>(&self.input).expect("a greeting");
            let Some((_, length)) = greeting else { return };
            self.input.drain(..length);
            self.greeted = true;
        }
        while let Some((frame, length)) = decode_frame(&self.input).expect("a frame") {
            self.input.drain(..length);
            self.heard.push(frame);
        }
    }

    fn send(&mut self, frame: &ToSidecar) {
        let mut bytes = Vec::new();
        encode_frame(frame, &mut bytes);
        self.stream.as_mut().expect("linked").write_all(&bytes).expect("a short frame");
    }

    fn welcome(&mut self, zone: &str) {
        self.send(&ToSidecar::Welcome { zone: zone.to_owned(), last: None });
    }

    fn list(&mut self, whole: bool, hosts: &[u8]) {
        let changed = hosts.iter().map(|host| record(*host, OWN_ZONE)).collect();
        self.send(&ToSidecar::Nodes { whole, changed, gone: Vec::new() });
    }

    /// What it was last told of a subscription.
    fn subscribed(&self) -> Option<bool> {
        self.heard.iter().rev().find_map(|frame| match frame {
            ToCoordinator::Subscribe { nodes } => Some(*nodes),
            _ => None,
        })
    }

    fn asked_for_config(&self) -> bool {
        self.heard.iter().any(|frame| matches!(frame, ToCoordinator::WantConfig { .. }))
    }
}

/// How long a coordinator of the own zone is waited for.
const OWN_ZONE_WAIT_MS: u64 = 150;

/// The same after all coordinators were lost.
const RECONNECT_WAIT_MS: u64 = 1_000;

/// The links of one sidecar with their coordinators; the clock stands unless a test moves it.
struct World {
    net: Net,
    links: Links,
    now: u64,
    events: Vec<LinkEvent>,
    coordinators: Vec<Coordinator>,
}

impl World {
    /// Links to stand-ins at the given loopback addresses, each linked but not welcomed.
    fn linked(hosts: &[u8]) -> Self {
        let mut coordinators = vec![Coordinator::listen(hosts[0], 0)];
        let port = coordinators[0].port();
        coordinators.extend(hosts[1..].iter().map(|host| Coordinator::listen(*host, port)));
        let seeds = hosts.iter().map(|host| ip(*host)).collect();
        let net = Net::new(IpAddr::V4(ip(1)), None).expect("a poll");
        let links = Links::new("fleet", port, seeds, record(200, OWN_ZONE), 7);
        let mut world = World { net, links, now: 1_000, events: Vec::new(), coordinators };
        world.until(|world| world.coordinators.iter().all(|held| !held.heard.is_empty()));
        // Seeds are wanted only until one of them is reached; members always.
        let place = |host: &u8| MemberPlace { address: ip(*host), zone: String::new() };
        let members = hosts.iter().map(place).collect();
        world.coordinators[0].send(&ToSidecar::Members { members });
        world
    }

    fn turn(&mut self) {
        for event in self.net.poll(Duration::from_millis(10)) {
            let news = self.links.on_event(&mut self.net, &event, self.now);
            self.events.extend(news);
        }
        self.links.tick(&mut self.net, self.now);
        for coordinator in &mut self.coordinators {
            coordinator.turn();
        }
    }

    fn until(&mut self, condition: impl Fn(&World) -> bool) {
        for _ in 0..MOST_TURNS {
            if condition(self) {
                return;
            }
            self.turn();
        }
        panic!("the condition did not come");
    }

    fn is_listed(&self, host: u8) -> bool {
        self.links.is_listed(&record(host, OWN_ZONE).address, self.now)
    }
}

#[test]
fn a_coordinator_of_the_own_zone_takes_over_once_it_has_told_all() {
    let mut world = World::linked(&[2, 3]);
    world.coordinators[0].welcome("zone-b");
    world.until(|world| world.links.is_welcomed());
    world.now += OWN_ZONE_WAIT_MS;
    world.until(|world| world.coordinators[0].subscribed() == Some(true));
    world.coordinators[0].list(true, &[11, 12]);
    world.until(|world| world.is_listed(11) && world.is_listed(12));
    world.coordinators[1].welcome(OWN_ZONE);
    world.until(|world| world.coordinators[1].subscribed() == Some(true));
    // It started a moment ago, and knows one of them only.
    world.coordinators[1].list(false, &[11]);
    world.until(|world| matches!(world.events.last(), Some(LinkEvent::Node(_))));
    assert_eq!(world.coordinators[0].subscribed(), Some(true));
    assert!(world.is_listed(12), "an incomplete list replaces nothing");
    world.coordinators[1].list(true, &[11]);
    world.until(|world| world.coordinators[0].subscribed() == Some(false));
    assert!(world.is_listed(11));
    assert!(!world.is_listed(12));
}

#[test]
fn another_coordinator_tells_while_the_one_subscribed_to_is_silent() {
    let mut world = World::linked(&[2, 3]);
    world.coordinators[0].welcome(OWN_ZONE);
    world.coordinators[1].welcome("zone-b");
    world.until(|world| world.coordinators[0].subscribed() == Some(true));
    world.coordinators[0].list(true, &[11]);
    world.until(|world| world.is_listed(11));
    assert_eq!(world.coordinators[1].subscribed(), None);
    world.now += SUSPECT_MS;
    world.coordinators[1].send(&ToSidecar::Pong { asked_at: 0, generation: 0 });
    world.until(|world| world.coordinators[1].subscribed() == Some(true));
    assert!(world.is_listed(11), "what the silent one told counts until another has told all");
    // It is heard again before the other one has told all: it stays.
    world.coordinators[0].send(&ToSidecar::Pong { asked_at: 0, generation: 0 });
    world.coordinators[1].list(true, &[11]);
    world.until(|world| world.coordinators[1].subscribed() == Some(false));
    assert_eq!(world.coordinators[0].subscribed(), Some(true));
}

#[test]
fn the_end_of_a_link_moves_the_subscription() {
    let mut world = World::linked(&[2, 3]);
    world.coordinators[0].welcome(OWN_ZONE);
    world.coordinators[1].welcome("zone-b");
    world.until(|world| world.coordinators[0].subscribed() == Some(true));
    world.coordinators[0].list(true, &[11]);
    world.until(|world| world.is_listed(11));
    world.now += RECONNECT_WAIT_MS;
    world.coordinators.remove(0);
    world.until(|world| world.coordinators[0].subscribed() == Some(true));
    assert!(world.is_listed(11));
    world.coordinators[0].list(true, &[12]);
    world.until(|world| world.is_listed(12));
    assert!(!world.is_listed(11));
}

#[test]
fn content_is_asked_of_a_coordinator_of_the_own_zone() {
    let mut world = World::linked(&[2, 3, 4]);
    for (number, zone) in ["zone-b", OWN_ZONE, "zone-c"].into_iter().enumerate() {
        world.coordinators[number].welcome(zone);
        world.coordinators[number].send(&ToSidecar::Announce { generation: 3 });
    }
    world.until(|world| world.coordinators[1].subscribed() == Some(true));
    let held = Bundle::from_objects(Vec::new()).digest();
    for _ in 0..20 {
        world.turn();
    }
    world.links.request_config(&mut world.net, 0, held, world.now);
    world.until(|world| world.coordinators.iter().any(Coordinator::asked_for_config));
    let asked: Vec<bool> = world.coordinators.iter().map(Coordinator::asked_for_config).collect();
    assert_eq!(asked, [false, true, false]);
    let update = best_update(None, &Bundle::from_objects(Vec::new()));
    let digest: Digest = update.target();
    world.coordinators[1].send(&ToSidecar::Config { generation: 3, confirmed: true, update });
    let is_config = |event: &LinkEvent| matches!(event, LinkEvent::Config { generation: 3, .. });
    world.until(|world| world.events.iter().any(is_config));
    assert_eq!(digest, held);
}

#[test]
fn a_coordinator_of_the_own_zone_is_waited_for_a_moment() {
    let mut world = World::linked(&[2, 3]);
    let held = Bundle::from_objects(Vec::new()).digest();
    world.coordinators[0].welcome("zone-b");
    world.coordinators[0].send(&ToSidecar::Announce { generation: 3 });
    world.until(|world| world.links.announced() == 3);
    world.links.request_config(&mut world.net, 0, held, world.now);
    world.coordinators[1].welcome(OWN_ZONE);
    world.until(|world| world.coordinators[1].subscribed() == Some(true));
    // It has not heard of the generation yet: it is waited for, but not for long.
    world.links.request_config(&mut world.net, 0, held, world.now + OWN_ZONE_WAIT_MS - 1);
    for _ in 0..20 {
        world.turn();
    }
    assert!(!world.coordinators.iter().any(Coordinator::asked_for_config));
    assert_eq!(world.coordinators[0].subscribed(), None);
    world.now += OWN_ZONE_WAIT_MS;
    world.links.request_config(&mut world.net, 0, held, world.now);
    world.until(|world| world.coordinators[0].asked_for_config());
}

#[test]
fn content_is_asked_for_before_it_is_announced() {
    let mut world = World::linked(&[2, 3]);
    let held = Bundle::from_objects(Vec::new()).digest();
    assert!(!world.links.request_first_config(&mut world.net, held, world.now), "none is linked");
    world.coordinators[1].welcome(OWN_ZONE);
    world.until(|world| world.links.is_welcomed());
    assert!(world.links.request_first_config(&mut world.net, held, world.now));
    world.until(|world| world.coordinators[1].asked_for_config());
    let update = best_update(None, &Bundle::from_objects(Vec::new()));
    world.coordinators[1].send(&ToSidecar::Config { generation: 2, confirmed: false, update });
    let told = |event: &LinkEvent| matches!(event, LinkEvent::Config { confirmed: false, .. });
    world.until(|world| world.events.iter().any(told));
    // A newer one is announced: it is asked for at once.
    world.coordinators[1].heard.clear();
    world.coordinators[1].send(&ToSidecar::Announce { generation: 3 });
    world.until(|world| world.links.announced() == 3);
    world.links.request_config(&mut world.net, 0, held, world.now);
    world.until(|world| world.coordinators[1].asked_for_config());
}

#[test]
fn after_all_were_lost_the_own_zone_is_waited_for_while_a_list_still_counts() {
    let mut world = World::linked(&[2, 3]);
    world.coordinators[1].welcome(OWN_ZONE);
    world.until(|world| world.coordinators[1].subscribed() == Some(true));
    world.coordinators[1].list(true, &[11]);
    world.until(|world| world.is_listed(11));
    // All processes of the coordinators end and start again, the far one first.
    for coordinator in &mut world.coordinators {
        coordinator.restart();
    }
    world.until(|world| world.links.acknowledged_by(0).1 == 0);
    for _ in 0..20 {
        world.turn();
    }
    world.now += 2_000;
    world.until(|world| world.coordinators.iter().all(|held| !held.heard.is_empty()));
    world.coordinators[0].welcome("zone-b");
    for _ in 0..20 {
        world.turn();
    }
    assert_eq!(world.coordinators[0].subscribed(), None);
    world.now += OWN_ZONE_WAIT_MS;
    for _ in 0..20 {
        world.turn();
    }
    assert_eq!(world.coordinators[0].subscribed(), None, "a list still counts");
    assert!(world.is_listed(11));
    world.now += RECONNECT_WAIT_MS;
    world.coordinators[0].send(&ToSidecar::Pong { asked_at: 0, generation: 0 });
    world.until(|world| world.coordinators[0].subscribed() == Some(true));
}

fn versions(revision: u64, barred: &str) -> ToSidecar {
    let service = "s".to_owned();
    let policy = VersionPolicy { service, candidate: None, barred: vec![barred.to_owned()] };
    ToSidecar::Versions { revision, policies: vec![policy] }
}

/// What was barred by each word of versions that was taken.
fn barred(world: &World) -> Vec<String> {
    let told = world.events.iter().filter_map(|event| match event {
        LinkEvent::Versions(policies) => Some(policies[0].barred.join(",")),
        _ => None,
    });
    told.collect()
}

#[test]
fn which_versions_get_calls_never_goes_back() {
    let mut world = World::linked(&[2, 3]);
    world.coordinators[0].send(&versions(7, "v2"));
    world.until(|world| !barred(world).is_empty());
    // A coordinator that is behind, one that repeats, and the next change.
    world.coordinators[1].send(&versions(5, "v1"));
    world.coordinators[1].send(&versions(7, "v9"));
    world.coordinators[1].send(&versions(8, "v3"));
    world.until(|world| barred(world).len() > 1);
    assert_eq!(barred(&world), ["v2", "v3"]);
}
