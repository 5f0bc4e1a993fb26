//! Processor time of the cores: a call at a sidecar that knows some hundreds of tenants, and a
//! request at a coordinator whose pools are those of thousands.

use mesh::{CreditAsk, CreditRequest, NodeAddress, TenantId};
use quota::{Gate, Limit, Pools};
use std::net::Ipv4Addr;
use std::time::Instant;

const ROUNDS: u64 = 200_000;
/// Tenants that a sidecar saw of late, and that a coordinator serves.
const AT_A_SIDECAR: u64 = 200;
const AT_A_COORDINATOR: u64 = 10_000;
const SIDECARS: u32 = 700;

fn main() {
    let limit = Limit { rate_milli: 1_000_000_000, burst: 1_000_000 };
    let address = |node: u32| NodeAddress { ip: Ipv4Addr::from(node), port: 1 };
    let mut pools = Pools::new(0);
    pools.set_limits((0..AT_A_COORDINATOR).map(|tenant| (TenantId(tenant), limit)), 0);
    let lends = |asked_at| CreditRequest { asked_at, lends: true, asks: Vec::new() };
    for node in 0..SIDECARS {
        pools.request(address(node), lends(0), 0);
    }
    pools.tick((0..SIDECARS).map(|node| (address(node), false)), &[], 1);
    let started = Instant::now();
    for round in 0..ROUNDS {
        let tenant = TenantId(round * 7 % AT_A_COORDINATOR);
        let ask = CreditAsk { tenant, need: 1, ahead: 0, kept: 0, debt: 0, refused: 0 };
        let now = 10 + round / 100;
        let request = CreditRequest { asked_at: now, lends: true, asks: vec![ask] };
        pools.request(address((round % u64::from(SIDECARS)) as u32), request, now);
    }
    println!("request at a coordinator: {:.2} us", micros_each(started));
    let started = Instant::now();
    for round in 0..100 {
        pools.tick((0..SIDECARS).map(|node| (address(node), false)), &[], 3_000 + round * 200);
    }
    println!("look at a coordinator: {:.0} us", started.elapsed().as_micros() as f64 / 100.0);

    let mut gate: Gate<u64> = Gate::new(1);
    gate.set_any_limit(true);
    gate.set_linked(true);
    let started = Instant::now();
    let mut on = 0;
    for round in 0..ROUNDS {
        let now = 10 + round * 6;
        let tenant = TenantId(round * 7 % AT_A_SIDECAR);
        on += usize::from(gate.admit(tenant, limit, round, now).is_some());
        if let Some(request) = gate.request(1, now) {
            let answer = pools.request(address(1), request, now).answer;
            gate.handle_answer(answer, now);
        }
        on += gate.settle(now).len();
    }
    println!("call at a sidecar, with its answer: {:.2} us ({on} on)", micros_each(started));
}

fn micros_each(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}
