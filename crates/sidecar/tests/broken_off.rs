//! Answers that break off, on real sockets: an answer is complete only where its framing says so, in
//! whatever state the request is when the connection ends.

use http1::{Answer, Exchange, ExchangeError, StreamEnd};
use sidecar::{ConnectionId, Net, NetEvent};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread::JoinHandle;
use std::time::Duration;

/// Small, so that a long request stays unsent while the upstream does not read.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
const POLL: Duration = Duration::from_millis(10);
const MAX_POLLS: usize = 1_000;
const BODY: &[u8] = b"the whole body of the answer";
/// A link so slow that a long request is still waiting for it.
const SLOW_LINK_BYTES_PER_MS: f64 = 20.0;

/// How much of the request is sent when the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// The upstream has read all of it.
    Sent,
    /// The upstream has read half of it, and no more.
    HalfSent,
    /// The upstream reads nothing.
    Unsent,
    /// Most of it waits for this machine's link.
    Paced,
}

/// How the answer is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunked,
    /// The answer ends with its connection.
    Connection,
}

/// What the upstream does after it has begun to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It resets the connection after half of the body.
    ResetMidway,
    /// It ends the connection in order after half of the body.
    EndMidway,
    /// It resets the connection after the whole answer.
    ResetWhole,
    /// It ends its direction after the whole answer, and resets then, since it reads no more.
    EndThenReset,
}

fn request(bytes: usize) -> Vec<u8> {
    let mut request =
        format!("POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: {bytes}\r\n\r\n").into_bytes();
    request.resize(request.len() + bytes, b'u');
    request
}

fn answer(framing: Framing, ending: Ending) -> Vec<u8> {
    let half = matches!(ending, Ending::ResetMidway | Ending::EndMidway);
    let body = if half { &BODY[..BODY.len() / 2] } else { BODY };
    let (header, mut bytes) = match framing {
        Framing::Length => (format!("Content-Length: {}\r\n", BODY.len()), body.to_vec()),
        Framing::Connection => (String::new(), body.to_vec()),
        Framing::Chunked => {
            let mut chunk = format!("{:x}\r\n", body.len()).into_bytes();
            chunk.extend_from_slice(body);
            chunk.extend_from_slice(if half { b"\r\n" } else { b"\r\n0\r\n\r\n" });
            ("Transfer-Encoding: chunked\r\n".to_owned(), chunk)
        }
    };
    let mut all = format!("HTTP/1.1 200 OK\r\n{header}\r\n").into_bytes();
    all.append(&mut bytes);
    all
}

fn listen() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&address.into()).expect("a free port");
    socket.listen(1).expect("listening");
    socket.into()
}

/// Answers one request and ends its connection, once the client has seen that it is connected; runs
/// to its end without the client from then on.
fn serve(
    listener: TcpListener,
    connected: Receiver<()>,
    reads: usize,
    answer: Vec<u8>,
    ending: Ending,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        connected.recv().expect("the client is connected");
        let mut read = vec![0; reads];
        stream.read_exact(&mut read).expect("the request arrives");
        stream.write_all(&answer).expect("the answer fits into the buffers");
        end(stream, ending);
    })
}

fn end(stream: TcpStream, ending: Ending) {
    let reset = || SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("set");
    match ending {
        Ending::ResetMidway | Ending::ResetWhole => reset(),
        Ending::EndMidway => {}
        Ending::EndThenReset => {
            stream.shutdown(std::net::Shutdown::Write).expect("open");
            reset();
        }
    }
    if ending == Ending::EndMidway {
        // An end in order needs all that was sent to be read.
        stream.shutdown(std::net::Shutdown::Write).expect("open");
        std::thread::sleep(Duration::from_millis(50));
        let _ = (&stream).take(1 << 20).read_to_end(&mut Vec::new());
    }
}

struct Client {
    net: Net,
    id: ConnectionId,
    exchange: Exchange,
}

impl Client {
    fn connect(address: SocketAddr, paced: bool) -> Self {
        let link = paced.then_some(SLOW_LINK_BYTES_PER_MS);
        let mut net = Net::new(IpAddr::V4(Ipv4Addr::LOCALHOST), link).expect("a poll");
        let id = net.connect(address).expect("connecting");
        if paced {
            net.set_remote_for_tests(id);
        }
        Client { net, id, exchange: Exchange::new("POST", None, 4_096, 1 << 20) }
    }

    fn wait_until_connected(&mut self) {
        for _ in 0..MAX_POLLS {
            let events = self.net.poll(POLL);
            if events.iter().any(|event| matches!(event, NetEvent::Connected(_))) {
                return;
            }
        }
        panic!("not connected");
    }

    /// The end of the exchange, and what the connection's end was read as, if it came to that.
    fn finish(&mut self) -> (Result<Answer, ExchangeError>, Option<StreamEnd>) {
        for _ in 0..MAX_POLLS {
            for event in self.net.poll(POLL) {
                match event {
                    NetEvent::Received(id) => {
                        let input = self.net.input(id).expect("open");
                        match self.exchange.receive(input) {
                            Ok(None) => {}
                            Ok(Some(answer)) => return (Ok(answer), None),
                            Err(error) => return (Err(error), None),
                        }
                    }
                    NetEvent::Ended(_, end) => {
                        return (self.exchange.end_of_stream(end), Some(end))
                    }
                    _ => {}
                }
            }
            self.net.pump();
        }
        panic!("the exchange does not end");
    }
}

/// Plays one exchange. The client looks at its socket only when the upstream has ended the
/// connection, so that a write meets the error before a read does.
fn play(
    state: RequestState,
    framing: Framing,
    ending: Ending,
) -> (Result<Answer, ExchangeError>, Option<StreamEnd>) {
    let body_bytes = if state == RequestState::Sent { 100 } else { 8 << 20 };
    let request = request(body_bytes);
    let reads = match state {
        RequestState::Sent => request.len(),
        RequestState::HalfSent => 64 * 1024,
        RequestState::Unsent | RequestState::Paced => 0,
    };
    let listener = listen();
    let address = listener.local_addr().expect("bound");
    let (tell, connected) = channel();
    let served = serve(listener, connected, reads, answer(framing, ending), ending);
    let mut client = Client::connect(address, state == RequestState::Paced);
    client.wait_until_connected();
    tell.send(()).expect("the upstream waits for it");
    client.net.send(client.id, &request);
    if ending == Ending::EndMidway {
        let outcome = client.finish();
        drop(client);
        served.join().expect("served");
        return outcome;
    }
    if state == RequestState::HalfSent {
        // The upstream reads what the buffers do not hold at once.
        while !served.is_finished() {
            client.net.send(client.id, b"");
            client.net.pump();
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    served.join().expect("served");
    client.finish()
}

const STATES: [RequestState; 4] =
    [RequestState::Sent, RequestState::HalfSent, RequestState::Unsent, RequestState::Paced];
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Connection];

/// Guards against half of a body that passes for a complete answer: the write of a long upload took
/// the reset off the socket, and the read that followed returned an end in order.
#[test]
fn an_answer_that_breaks_off_is_never_complete() {
    for state in STATES {
        for framing in FRAMINGS {
            let (outcome, _) = play(state, framing, Ending::ResetMidway);
            assert!(outcome.is_err(), "{state:?} {framing:?}: {outcome:?}");
        }
        for framing in [Framing::Length, Framing::Chunked] {
            let (outcome, _) = play(state, framing, Ending::EndMidway);
            assert!(outcome.is_err(), "{state:?} {framing:?}: {outcome:?}");
        }
        // An answer that ends with its connection is whole wherever that ends in order.
        let (outcome, _) = play(state, Framing::Connection, Ending::EndMidway);
        assert!(outcome.is_ok(), "{state:?}: {outcome:?}");
    }
}

#[test]
fn an_answer_that_arrived_whole_counts_though_its_connection_was_reset() {
    for state in STATES {
        for framing in FRAMINGS {
            let (outcome, end) = play(state, framing, Ending::ResetWhole);
            match framing {
                Framing::Length | Framing::Chunked => {
                    let body = outcome.expect("the framing says that it is whole").response.body;
                    assert_eq!(body, BODY, "{state:?} {framing:?}");
                }
                // Nobody can tell whether more was to come.
                Framing::Connection => assert_eq!(end, Some(StreamEnd::Reset), "{state:?}"),
            }
        }
    }
}

/// The other side of it: an upstream that answers early and reads no more has ended its direction in
/// order first.
#[test]
fn an_answer_that_ended_in_order_is_whole_though_the_upstream_reads_no_more() {
    for state in STATES {
        for framing in FRAMINGS {
            let (outcome, _) = play(state, framing, Ending::EndThenReset);
            let body = outcome.map(|answer| answer.response.body);
            assert_eq!(body.as_deref(), Ok(BODY), "{state:?} {framing:?}");
        }
    }
}
