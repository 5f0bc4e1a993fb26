//! Measures the processor time of a call at a sidecar with some hundreds of tenants, and of a request
//! at a coordinator with pools for thousands.

use mesh::{CreditAsk, CreditRequest, NodeAddress, TenantId};
use quota::{Gate, Limit, Pools};
use std::net::Ipv4Addr;
use std::time::Instant;

const ROUNDS: u64 = 200_000;
/// Tenants with recent calls at the sidecar.
const SIDECAR_TENANTS: u64 = 200;
/// Tenants that the coordinator serves.
const COORDINATOR_TENANTS: u64 = 10_000;
const SIDECARS: u32 = 700;

fn main() {
    let limit = Limit { rate_milli: 1_000_000_000, burst: 1_000_000 };
    let address = |node: u32| NodeAddress { ip: Ipv4Addr::from(node), port: 1 };
    let mut pools = Pools::new(0);
    pools.set_limits((0..COORDINATOR_TENANTS).map(|tenant| (TenantId(tenant), limit)), 0);
    let lending_request = |asked_at| CreditRequest { asked_at, lends: true, asks: Vec::new() };
    for node in 0..SIDECARS {
        pools.request(address(node), lending_request(0), 0);
    }
    pools.tick((0..SIDECARS).map(|node| (address(node), false)), &[], 1);
    let started = Instant::now();
    for round in 0..ROUNDS {
        let tenant = TenantId(round * 7 % COORDINATOR_TENANTS);
        let ask = CreditAsk { tenant, need: 1, prefetch: 0, held: 0, debt: 0, refused: 0 };
        let now = 10 + round / 100;
        let request = CreditRequest { asked_at: now, lends: true, asks: vec![ask] };
        pools.request(address((round % u64::from(SIDECARS)) as u32), request, now);
    }
    println!("request at a coordinator: {:.2} us", micros_per_round(started));
    let started = Instant::now();
    for round in 0..100 {
        pools.tick((0..SIDECARS).map(|node| (address(node), false)), &[], 3_000 + round * 200);
    }
    println!(
        "periodic update at a coordinator: {:.0} us",
        started.elapsed().as_micros() as f64 / 100.0
    );

    let mut gate: Gate<u64> = Gate::new(1);
    gate.set_any_limit(true);
    gate.set_linked(true);
    let started = Instant::now();
    let mut decided = 0;
    for round in 0..ROUNDS {
        let now = 10 + round * 6;
        let tenant = TenantId(round * 7 % SIDECAR_TENANTS);
        decided += usize::from(gate.admit(tenant, limit, round, now).is_some());
        if let Some(request) = gate.request(1, now) {
            let answer = pools.request(address(1), request, now).answer;
            gate.handle_answer(answer, now);
        }
        decided += gate.settle(now).len();
    }
    println!(
        "call at a sidecar, with its answer: {:.2} us ({decided} decided)",
        micros_per_round(started)
    );
}

fn micros_per_round(started: Instant) -> f64 {
    started.elapsed().as_secs_f64() * 1e6 / ROUNDS as f64
}
