//! Reading the health of a local backend that breaks its response off.

use proxy::HealthEndpoint;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

const DRAINING: &str = "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"state\":\"draining\"}";
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{\"state\":\"draining\"}";

/// Starts a backend that answers with the first bytes of a response and closes.
fn backend(response: &'static str, length: usize) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut received = Vec::new();
            let mut byte = [0];
            while !received.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|n| n > 0) {
                received.push(byte[0]);
            }
            let _ = stream.write_all(&response.as_bytes()[..length]);
        }
    });
    address
}

#[test]
fn a_response_that_stops_at_any_byte_says_nothing() {
    for response in [DRAINING, NO_LENGTH] {
        for length in 0..response.len() {
            let is_draining = HealthEndpoint::new(backend(response, length)).is_draining();
            assert!(!is_draining, "{:?}", &response[..length]);
        }
        let whole = HealthEndpoint::new(backend(response, response.len()));
        assert!(whole.is_draining(), "the whole response does");
    }
}
