//! Measures the cost of selecting an upstream by the size of the service.
//!
//! Run with `cargo run --release --example choice_cost`.

use mesh::{InstanceRecord, InstanceState, NodeAddress, NodeRecord, Track};
use placement::{LatencyHistogram, Locality, PlacementView, Request, Urgency};
use std::net::Ipv4Addr;
use std::time::Instant;

const SERVICE: &str = "fares";
const ZONES: u32 = 6;
const CHOICES: u32 = 20_000;
/// Number of calls in flight, so that the choices differ.
const OUTSTANDING: usize = 40;

/// The nodes of a zone have consecutive addresses and are added together.
fn record(number: u32, zone: u32) -> NodeRecord {
    NodeRecord {
        address: NodeAddress { ip: Ipv4Addr::from(0x0a00_0000 + number), port: 1 },
        boot_id: 1,
        sequence: 1,
        zone: format!("zone-{zone}"),
        service: SERVICE.to_owned(),
        stopping: false,
        instance: Some(InstanceRecord {
            id: format!("i-{number}"),
            state: InstanceState::Ready,
            slots: 14,
            cold_remaining_ms: 0,
            born_ms: 0,
            version: String::new(),
        }),
    }
}

fn main() {
    for upstreams in [40, 400, 4_000] {
        let own = NodeAddress { ip: Ipv4Addr::new(10, 200, 0, 1), port: 1 };
        let mut view = PlacementView::new(Locality::new(own, "zone-2"));
        for number in 0..upstreams {
            view.update(record(number, number * ZONES / upstreams), 0);
        }
        let mut random = fastrand::Rng::with_seed(1);
        let mut left_zone = 0;
        let mut outstanding = std::collections::VecDeque::new();
        let began = Instant::now();
        for _ in 0..CHOICES {
            let request = Request {
                service: SERVICE,
                track: Track::Stable,
                urgency: Urgency { rank: 1, target_ms: 400 },
                usual_ms: 100.0,
                spread: &LatencyHistogram::default(),
                moved_bytes: 1_500.0,
                target_ms: 400.0,
                left_ms: 2_000,
                body_bytes: 0,
                tried: &[],
            };
            let Some(chosen) = view.choose(&request, 0, &mut random) else { continue };
            let held = view.get_mut(&chosen).expect("it was chosen");
            held.outstanding += 1;
            left_zone += u32::from(held.record.zone != "zone-2");
            outstanding.push_back(chosen);
            if outstanding.len() > OUTSTANDING {
                let ended = outstanding.pop_front().expect("calls are in flight");
                view.get_mut(&ended).expect("it was chosen").outstanding -= 1;
            }
        }
        let each = began.elapsed() / CHOICES;
        let left_zone = f64::from(left_zone) * 100.0 / f64::from(CHOICES);
        println!("{upstreams} upstreams: {each:?} a choice, {left_zone:.1} % leave the zone");
    }
}
