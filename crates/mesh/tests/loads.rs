//! The encoded size of a load, from which coordinators compute the intervals between load updates.

use mesh::{NodeAddress, NodeLoad, UpstreamLoad};
use speedy::Writable;
use std::net::Ipv4Addr;

#[test]
fn a_load_is_as_long_as_rates_are_reckoned_by() {
    let address = NodeAddress { ip: Ipv4Addr::LOCALHOST, port: 8_300 };
    let load = UpstreamLoad::new(9, 200, 60_000).with_service_time_percent(300).with_link(90);
    let encoded =
        NodeLoad { address, load }.write_to_vec().expect("encoding to memory cannot fail");
    assert_eq!(encoded.len(), NodeLoad::BYTES);
}
