//! Frames between processes that break off: what is not there as a whole is no message.

use std::io::Cursor;
use wire::{read_frame, write_frame, FrameError};

const LENGTH_BYTES: usize = 4;

fn message() -> Vec<String> {
    (0..20).map(|number| format!("bundle {number}")).collect()
}

fn written() -> Vec<u8> {
    let mut bytes = Vec::new();
    write_frame(&mut bytes, &message()).expect("memory has room");
    bytes
}

fn read(bytes: &[u8]) -> Result<Vec<String>, FrameError> {
    read_frame(&mut Cursor::new(bytes)).map(|(message, _)| message)
}

#[test]
fn a_frame_that_is_cut_anywhere_is_a_lost_connection() {
    let bytes = written();
    for cut in 0..bytes.len() {
        assert!(matches!(read(&bytes[..cut]), Err(FrameError::Io { .. })), "{cut}");
    }
    assert_eq!(read(&bytes).expect("it is whole"), message());
}

#[test]
fn a_frame_with_less_than_it_says_is_no_message() {
    let bytes = written();
    for missing in 1..bytes.len() - LENGTH_BYTES {
        let mut shorter = bytes[..bytes.len() - missing].to_vec();
        let length = (shorter.len() - LENGTH_BYTES) as u32;
        shorter[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
        assert!(matches!(read(&shorter), Err(FrameError::Undecodable { .. })), "{missing}");
    }
}
