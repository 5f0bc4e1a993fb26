//! Which coordinator provides the list of sidecars, tested with fake coordinators on loopback
//! addresses.

use bundle::{best_update, Bundle, Digest};
use mesh::{
    decode_frame, encode_frame, Greeting, MemberLocation, NodeAddress, NodeRecord, ToCoordinator,
    ToSidecar, VersionPolicy,
};
use sidecar::{LinkEvent, Links, Net};
use std::io::{ErrorKind, Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpListener, TcpStream};
use std::time::Duration;

const OWN_ZONE: &str = "zone-a";
/// Limit on loop iterations of ten milliseconds each; a condition that is not met by then fails the
/// test.
const MAX_TURNS: usize = 500;
/// Longer than a coordinator may be silent and remain the only subscription.
const UNHEALTHY_MS: u64 = 1_600;

fn ip(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, host)
}

fn record(host: u8, zone: &str) -> NodeRecord {
    NodeRecord {
        address: NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 },
        boot_id: 1,
        sequence: 1,
        zone: zone.to_owned(),
        service: "s".to_owned(),
        stopping: false,
        instance: None,
    }
}

/// A fake coordinator.
struct Coordinator {
    listener: TcpListener,
    stream: Option<TcpStream>,
    input: Vec<u8>,
    greeted: bool,
    received: Vec<ToCoordinator>,
}

impl Coordinator {
    fn listen(host: u8, port: u16) -> Self {
        let listener = TcpListener::bind((ip(host), port)).expect("binding a loopback address");
        listener.set_nonblocking(true).expect("setting non-blocking mode");
        Coordinator {
            listener,
            stream: None,
            input: Vec::new(),
            greeted: false,
            received: Vec::new(),
        }
    }

    /// Simulates a restart: the connection ends, and a new process listens on the same address.
    fn restart(&mut self) {
        self.stream = None;
        self.input.clear();
        self.greeted = false;
        self.received.clear();
    }

    fn port(&self) -> u16 {
        self.listener.local_addr().expect("a bound socket").port()
    }

    fn turn(&mut self) {
        if self.stream.is_none() {
            let Ok((stream, _)) = self.listener.accept() else {
                return;
            };
            stream.set_nonblocking(true).expect("setting non-blocking mode");
            self.stream = Some(stream);
        }
        let stream = self.stream.as_mut().expect("a stream accepted above");
        let mut piece = [0; 4_096];
        match stream.read(&mut piece) {
            Ok(count) => self.input.extend_from_slice(&piece[..count]),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
        if !self.greeted {
            let greeting = decode_frame::<Greeting>(&self.input).expect("a valid greeting");
            let Some((_, length)) = greeting else { return };
            self.input.drain(..length);
            self.greeted = true;
        }
        while let Some((frame, length)) = decode_frame(&self.input).expect("a valid frame") {
            self.input.drain(..length);
            self.received.push(frame);
        }
    }

    fn send(&mut self, frame: &ToSidecar) {
        let mut bytes = Vec::new();
        encode_frame(frame, &mut bytes);
        self.stream
            .as_mut()
            .expect("a connected sidecar")
            .write_all(&bytes)
            .expect("writing a short frame");
    }

    fn welcome(&mut self, zone: &str) {
        self.send(&ToSidecar::Welcome { zone: zone.to_owned(), last: None });
    }

    fn list(&mut self, whole: bool, hosts: &[u8]) {
        let changed = hosts.iter().map(|host| record(*host, OWN_ZONE)).collect();
        self.send(&ToSidecar::Nodes { whole, changed, gone: Vec::new() });
    }

    /// The last subscription state that it received.
    fn subscribed(&self) -> Option<bool> {
        self.received.iter().rev().find_map(|frame| match frame {
            ToCoordinator::Subscribe { nodes } => Some(*nodes),
            _ => None,
        })
    }

    fn requested_config(&self) -> bool {
        self.received.iter().any(|frame| matches!(frame, ToCoordinator::ConfigRequest { .. }))
    }
}

/// How long a coordinator of the own zone is waited for.
const OWN_ZONE_WAIT_MS: u64 = 150;

/// The same after all coordinators were lost.
const RECONNECT_WAIT_MS: u64 = 1_000;

/// The links of one sidecar and their coordinators; the clock only advances when a test sets it.
struct Harness {
    net: Net,
    links: Links,
    now: u64,
    events: Vec<LinkEvent>,
    coordinators: Vec<Coordinator>,
}

impl Harness {
    /// Links to fake coordinators at the given loopback addresses; all are connected, none has sent
    /// a welcome.
    fn linked(hosts: &[u8]) -> Self {
        let mut coordinators = vec![Coordinator::listen(hosts[0], 0)];
        let port = coordinators[0].port();
        coordinators.extend(hosts[1..].iter().map(|host| Coordinator::listen(*host, port)));
        let seeds = hosts.iter().map(|host| ip(*host)).collect();
        let net = Net::new(IpAddr::V4(ip(1)), None).expect("creating the sockets");
        let links = Links::new("fleet", port, seeds, record(200, OWN_ZONE), 7);
        let mut harness = Harness { net, links, now: 1_000, events: Vec::new(), coordinators };
        harness
            .run_until(|harness| harness.coordinators.iter().all(|held| !held.received.is_empty()));
        // Seeds are linked only until one of them is reached, members always.
        let place = |host: &u8| MemberLocation { address: ip(*host), zone: String::new() };
        let members = hosts.iter().map(place).collect();
        harness.coordinators[0].send(&ToSidecar::Members { members });
        harness
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

    fn run_until(&mut self, condition: impl Fn(&Harness) -> bool) {
        for _ in 0..MAX_TURNS {
            if condition(self) {
                return;
            }
            self.turn();
        }
        panic!("the condition was not met in time");
    }

    fn is_listed(&self, host: u8) -> bool {
        self.links.is_listed(&record(host, OWN_ZONE).address, self.now)
    }
}

#[test]
fn a_coordinator_of_the_own_zone_takes_over_once_it_has_told_all() {
    let mut harness = Harness::linked(&[2, 3]);
    harness.coordinators[0].welcome("zone-b");
    harness.run_until(|harness| harness.links.is_welcomed());
    harness.now += OWN_ZONE_WAIT_MS;
    harness.run_until(|harness| harness.coordinators[0].subscribed() == Some(true));
    harness.coordinators[0].list(true, &[11, 12]);
    harness.run_until(|harness| harness.is_listed(11) && harness.is_listed(12));
    harness.coordinators[1].welcome(OWN_ZONE);
    harness.run_until(|harness| harness.coordinators[1].subscribed() == Some(true));
    // This coordinator has just started and knows only one of the sidecars.
    harness.coordinators[1].list(false, &[11]);
    harness.run_until(|harness| matches!(harness.events.last(), Some(LinkEvent::Node(_))));
    assert_eq!(harness.coordinators[0].subscribed(), Some(true));
    assert!(harness.is_listed(12), "an incomplete list does not replace the previous one");
    harness.coordinators[1].list(true, &[11]);
    harness.run_until(|harness| harness.coordinators[0].subscribed() == Some(false));
    assert!(harness.is_listed(11));
    assert!(!harness.is_listed(12));
}

#[test]
fn another_coordinator_tells_while_the_one_subscribed_to_is_silent() {
    let mut harness = Harness::linked(&[2, 3]);
    harness.coordinators[0].welcome(OWN_ZONE);
    harness.coordinators[1].welcome("zone-b");
    harness.run_until(|harness| harness.coordinators[0].subscribed() == Some(true));
    harness.coordinators[0].list(true, &[11]);
    harness.run_until(|harness| harness.is_listed(11));
    assert_eq!(harness.coordinators[1].subscribed(), None);
    harness.now += UNHEALTHY_MS;
    harness.coordinators[1].send(&ToSidecar::Pong { asked_at: 0, generation: 0 });
    harness.run_until(|harness| harness.coordinators[1].subscribed() == Some(true));
    assert!(
        harness.is_listed(11),
        "the silent coordinator's list is valid until another one is complete"
    );
    // The silent coordinator is heard again before the other one has sent its complete list, so the
    // subscription stays with it.
    harness.coordinators[0].send(&ToSidecar::Pong { asked_at: 0, generation: 0 });
    harness.coordinators[1].list(true, &[11]);
    harness.run_until(|harness| harness.coordinators[1].subscribed() == Some(false));
    assert_eq!(harness.coordinators[0].subscribed(), Some(true));
}

#[test]
fn the_end_of_a_link_moves_the_subscription() {
    let mut harness = Harness::linked(&[2, 3]);
    harness.coordinators[0].welcome(OWN_ZONE);
    harness.coordinators[1].welcome("zone-b");
    harness.run_until(|harness| harness.coordinators[0].subscribed() == Some(true));
    harness.coordinators[0].list(true, &[11]);
    harness.run_until(|harness| harness.is_listed(11));
    harness.now += RECONNECT_WAIT_MS;
    harness.coordinators.remove(0);
    harness.run_until(|harness| harness.coordinators[0].subscribed() == Some(true));
    assert!(harness.is_listed(11));
    harness.coordinators[0].list(true, &[12]);
    harness.run_until(|harness| harness.is_listed(12));
    assert!(!harness.is_listed(11));
}

#[test]
fn content_is_asked_of_a_coordinator_of_the_own_zone() {
    let mut harness = Harness::linked(&[2, 3, 4]);
    for (number, zone) in ["zone-b", OWN_ZONE, "zone-c"].into_iter().enumerate() {
        harness.coordinators[number].welcome(zone);
        harness.coordinators[number].send(&ToSidecar::Announce { generation: 3 });
    }
    harness.run_until(|harness| harness.coordinators[1].subscribed() == Some(true));
    let held = Bundle::from_objects(Vec::new()).digest();
    for _ in 0..20 {
        harness.turn();
    }
    harness.links.request_config(&mut harness.net, 0, held, harness.now);
    harness.run_until(|harness| harness.coordinators.iter().any(Coordinator::requested_config));
    let asked: Vec<bool> = harness.coordinators.iter().map(Coordinator::requested_config).collect();
    assert_eq!(asked, [false, true, false]);
    let update = best_update(None, &Bundle::from_objects(Vec::new()));
    let digest: Digest = update.target();
    harness.coordinators[1].send(&ToSidecar::Config { generation: 3, confirmed: true, update });
    let is_config = |event: &LinkEvent| matches!(event, LinkEvent::Config { generation: 3, .. });
    harness.run_until(|harness| harness.events.iter().any(is_config));
    assert_eq!(digest, held);
}

#[test]
fn a_coordinator_of_the_own_zone_is_waited_for_a_moment() {
    let mut harness = Harness::linked(&[2, 3]);
    let held = Bundle::from_objects(Vec::new()).digest();
    harness.coordinators[0].welcome("zone-b");
    harness.coordinators[0].send(&ToSidecar::Announce { generation: 3 });
    harness.run_until(|harness| harness.links.announced() == 3);
    harness.links.request_config(&mut harness.net, 0, held, harness.now);
    harness.coordinators[1].welcome(OWN_ZONE);
    harness.run_until(|harness| harness.coordinators[1].subscribed() == Some(true));
    // The coordinator of the own zone has not announced the generation yet; it is waited for
    // briefly.
    harness.links.request_config(&mut harness.net, 0, held, harness.now + OWN_ZONE_WAIT_MS - 1);
    for _ in 0..20 {
        harness.turn();
    }
    assert!(!harness.coordinators.iter().any(Coordinator::requested_config));
    assert_eq!(harness.coordinators[0].subscribed(), None);
    harness.now += OWN_ZONE_WAIT_MS;
    harness.links.request_config(&mut harness.net, 0, held, harness.now);
    harness.run_until(|harness| harness.coordinators[0].requested_config());
}

#[test]
fn content_is_asked_for_before_it_is_announced() {
    let mut harness = Harness::linked(&[2, 3]);
    let held = Bundle::from_objects(Vec::new()).digest();
    assert!(
        !harness.links.request_first_config(&mut harness.net, held, harness.now),
        "no coordinator is linked"
    );
    harness.coordinators[1].welcome(OWN_ZONE);
    harness.run_until(|harness| harness.links.is_welcomed());
    assert!(harness.links.request_first_config(&mut harness.net, held, harness.now));
    harness.run_until(|harness| harness.coordinators[1].requested_config());
    let update = best_update(None, &Bundle::from_objects(Vec::new()));
    harness.coordinators[1].send(&ToSidecar::Config { generation: 2, confirmed: false, update });
    let told = |event: &LinkEvent| matches!(event, LinkEvent::Config { confirmed: false, .. });
    harness.run_until(|harness| harness.events.iter().any(told));
    // A newer generation is announced and requested at once.
    harness.coordinators[1].received.clear();
    harness.coordinators[1].send(&ToSidecar::Announce { generation: 3 });
    harness.run_until(|harness| harness.links.announced() == 3);
    harness.links.request_config(&mut harness.net, 0, held, harness.now);
    harness.run_until(|harness| harness.coordinators[1].requested_config());
}

#[test]
fn after_all_were_lost_the_own_zone_is_waited_for_while_a_list_still_counts() {
    let mut harness = Harness::linked(&[2, 3]);
    harness.coordinators[1].welcome(OWN_ZONE);
    harness.run_until(|harness| harness.coordinators[1].subscribed() == Some(true));
    harness.coordinators[1].list(true, &[11]);
    harness.run_until(|harness| harness.is_listed(11));
    // All coordinators restart, the one in the other zone first.
    for coordinator in &mut harness.coordinators {
        coordinator.restart();
    }
    harness.run_until(|harness| harness.links.acknowledged_by(0).1 == 0);
    for _ in 0..20 {
        harness.turn();
    }
    harness.now += 2_000;
    harness.run_until(|harness| harness.coordinators.iter().all(|held| !held.received.is_empty()));
    harness.coordinators[0].welcome("zone-b");
    for _ in 0..20 {
        harness.turn();
    }
    assert_eq!(harness.coordinators[0].subscribed(), None);
    harness.now += OWN_ZONE_WAIT_MS;
    for _ in 0..20 {
        harness.turn();
    }
    assert_eq!(harness.coordinators[0].subscribed(), None, "the previous list is still valid");
    assert!(harness.is_listed(11));
    harness.now += RECONNECT_WAIT_MS;
    harness.coordinators[0].send(&ToSidecar::Pong { asked_at: 0, generation: 0 });
    harness.run_until(|harness| harness.coordinators[0].subscribed() == Some(true));
}

fn versions(revision: u64, barred: &str) -> ToSidecar {
    let service = "s".to_owned();
    let policy = VersionPolicy { service, candidate: None, barred: vec![barred.to_owned()] };
    ToSidecar::Versions { revision, policies: vec![policy] }
}

/// The barred versions of each policy update that was applied.
fn barred(harness: &Harness) -> Vec<String> {
    let told = harness.events.iter().filter_map(|event| match event {
        LinkEvent::Versions(policies) => Some(policies[0].barred.join(",")),
        _ => None,
    });
    told.collect()
}

#[test]
fn which_versions_get_calls_never_goes_back() {
    let mut harness = Harness::linked(&[2, 3]);
    harness.coordinators[0].send(&versions(7, "v2"));
    harness.run_until(|harness| !barred(harness).is_empty());
    // An outdated update, a repeated revision, and the next change.
    harness.coordinators[1].send(&versions(5, "v1"));
    harness.coordinators[1].send(&versions(7, "v9"));
    harness.coordinators[1].send(&versions(8, "v3"));
    harness.run_until(|harness| barred(harness).len() > 1);
    assert_eq!(barred(&harness), ["v2", "v3"]);
}
