//! Reading the platform's list of machines from a platform that breaks off.

use relay::MachineList;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

/// A whole response with an empty list, and one that says that nothing has changed.
const RESPONSES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nETag: \"2\"\r\nContent-Length: 2\r\n\r\n[]",
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n[]",
    "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n",
    "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n",
];

/// Starts a platform that answers with the first bytes of a response and closes.
fn platform(response: &'static str, length: usize) -> SocketAddr {
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

fn fetch(response: &'static str, length: usize) -> Result<Option<usize>, String> {
    let mut list = MachineList::new(&format!("http://{}/machines", platform(response, length)));
    let fetched = list.fetch().map_err(|error| error.to_string())?;
    Ok(fetched.map(|machines| machines.len()))
}

#[test]
fn a_response_that_stops_at_any_byte_is_no_list() {
    for response in RESPONSES {
        let head_bytes = response.find("\r\n\r\n").expect("a whole head") + 4;
        // A body that stops is no list either.
        let stops = if response.ends_with("[]") { response.len() } else { head_bytes };
        for length in 0..stops {
            let fetched = fetch(response, length);
            assert!(fetched.is_err(), "{:?}: {fetched:?}", &response[..length]);
        }
    }
}

#[test]
fn a_whole_response_is_a_list() {
    let fetched = |number: usize| fetch(RESPONSES[number], RESPONSES[number].len());
    assert_eq!([fetched(0), fetched(1), fetched(2)], [Ok(Some(0)), Ok(Some(0)), Ok(None)]);
}
