//! Loads that are sent to subscribers and other coordinators.

use coordinator::LoadTable;
use expect_test::expect;
use mesh::{NodeAddress, NodeLoad, UpstreamLoad};
use std::net::Ipv4Addr;

fn address(host: u8) -> NodeAddress {
    NodeAddress { ip: Ipv4Addr::new(10, 0, 0, host), port: 8_300 }
}

fn load(host: u8, running: u32, queued: u32) -> NodeLoad {
    NodeLoad { address: address(host), load: UpstreamLoad::new(running, queued, 100) }
}

fn format_loads(loads: &[NodeLoad]) -> String {
    let row =
        |node: &NodeLoad| format!("{} {}+{}", node.address.ip, node.load.running, node.load.queued);
    loads.iter().map(row).collect::<Vec<_>>().join(", ")
}

#[test]
fn each_load_is_told_once_and_only_by_the_coordinator_that_heard_it() {
    let mut table = LoadTable::default();
    table.report(address(1), UpstreamLoad::new(3, 0, 100));
    table.merge_forwarded(&[load(2, 9, 4)]);
    let position = table.position();
    table.report(address(3), UpstreamLoad::new(1, 0, 100));
    table.report(address(3), UpstreamLoad::new(2, 0, 100));
    let loads_sent =
        [table.since(0, |_| true), table.reported_since(0), table.since(position, |_| true)];
    expect![[r#"
        10.0.0.1 3+0, 10.0.0.2 9+4, 10.0.0.3 2+0
        10.0.0.1 3+0, 10.0.0.3 2+0
        10.0.0.3 2+0"#]]
    .assert_eq(&loads_sent.map(|loads| format_loads(&loads)).join("\n"));
    assert!(table.since(table.position(), |_| true).is_empty());
}

#[test]
fn an_upstream_that_another_coordinator_hears_now_is_not_passed_on_any_more() {
    let mut table = LoadTable::default();
    table.report(address(1), UpstreamLoad::new(3, 0, 100));
    table.merge_forwarded(&[load(1, 4, 0)]);
    assert!(table.reported_since(0).is_empty());
    assert_eq!(format_loads(&table.since(0, |_| true)), "10.0.0.1 4+0");
}

#[test]
fn what_is_not_listed_is_forgotten() {
    let mut table = LoadTable::default();
    table.merge_forwarded(&[load(1, 4, 0), load(2, 5, 0)]);
    table.retain(|listed| *listed == address(2));
    assert_eq!(format_loads(&table.since(0, |_| true)), "10.0.0.2 5+0");
}

#[test]
fn counts_that_do_not_fit_are_cut() {
    assert_eq!(
        UpstreamLoad::new(70_000, 256, 100),
        UpstreamLoad { running: 255, queued: 255, service_ms: 100, ..UpstreamLoad::default() }
    );
    assert_eq!(UpstreamLoad::new(70_000, 256, 100).total_calls(), 510);
}
