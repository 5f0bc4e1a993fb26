//! Frames between processes that break off: what is not there as a whole is no message.

use mesh::{decode_frame, encode_frame, FrameError, MemberLocation};
use std::net::Ipv4Addr;

const LENGTH_BYTES: usize = 4;

fn message() -> Vec<MemberLocation> {
    let location = |host| MemberLocation {
        address: Ipv4Addr::new(10, 0, 0, host),
        zone: format!("zone-{host}"),
    };
    (1..=20).map(location).collect()
}

fn encoded() -> Vec<u8> {
    let mut bytes = Vec::new();
    encode_frame(&message(), &mut bytes);
    bytes
}

#[test]
fn a_frame_that_is_cut_anywhere_is_no_message() {
    let bytes = encoded();
    for cut in 0..bytes.len() {
        let decoded = decode_frame::<Vec<MemberLocation>>(&bytes[..cut]);
        assert!(matches!(decoded, Ok(None)), "{cut}");
    }
    let (decoded, length) = decode_frame::<Vec<MemberLocation>>(&bytes).unwrap().unwrap();
    assert_eq!((decoded, length), (message(), bytes.len()));
}

#[test]
fn a_frame_with_less_than_it_says_is_no_message() {
    let bytes = encoded();
    for missing in 1..bytes.len() - LENGTH_BYTES {
        let mut shorter = bytes[..bytes.len() - missing].to_vec();
        let length = (shorter.len() - LENGTH_BYTES) as u32;
        shorter[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        let decoded = decode_frame::<Vec<MemberLocation>>(&shorter);
        assert!(matches!(decoded, Err(FrameError::Undecodable)), "{missing}");
    }
}
