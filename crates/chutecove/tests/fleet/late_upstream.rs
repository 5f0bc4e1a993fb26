//! An upstream that works, reads or answers as long as the path says.

use super::raw_http::{read_head, skip_body};
use super::Fleet;
use socket2::{Domain, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const SHORT_BYTES: usize = 4;
const MS: Duration = Duration::from_millis(1);
const BACKLOG: i32 = 64;

/// Starts the upstream of a host, which does as the path says: `/one/work/MS` answers after a time, `/one/late/MS` reads
/// the body after a time, `/one/long/BYTES/MS` answers with so many bytes after a time. Counts what it has
/// begun.
pub fn start_upstream(fleet: &Fleet, host: u8, buffer_bytes: Option<usize>) -> Arc<AtomicUsize> {
    let listener = listen((fleet.ip(host), fleet.ports.upstream).into(), buffer_bytes);
    let begun = Arc::new(AtomicUsize::new(0));
    let counted = begun.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let begun = counted.clone();
            thread::spawn(move || serve(stream, &begun));
        }
    });
    begun
}

/// Listens with receive buffers of this size, or of the usual one.
fn listen(address: SocketAddr, buffer_bytes: Option<usize>) -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    if let Some(bytes) = buffer_bytes {
        socket.set_recv_buffer_size(bytes).expect("a small buffer");
    }
    socket.bind(&address.into()).expect("the address is free");
    socket.listen(BACKLOG).expect("listening");
    socket.into()
}

/// Serves one connection; `None` once it is closed.
fn serve(mut stream: TcpStream, begun: &AtomicUsize) -> Option<()> {
    // A small buffer, so that a body that is not wanted yet stays with the kernel.
    let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
    loop {
        let head = read_head(&mut reader)?;
        begun.fetch_add(1, Ordering::SeqCst);
        let mut words = head.target.split('/').skip(2);
        let kind = words.next()?;
        let mut number = || words.next().and_then(|word| word.parse().ok()).unwrap_or(0);
        let body_bytes = if kind == "long" { number() } else { SHORT_BYTES };
        thread::sleep(number() as u32 * MS);
        skip_body(&mut reader, &head)?;
        let body = vec![b'x'; body_bytes];
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Chutecove-Seal: seal\r\nX-Chutecove-Attempt-Id: {}\r\n\
             Content-Length: {}\r\n\r\n",
            head.attempt_id,
            body.len()
        );
        stream.write_all(answer.as_bytes()).ok()?;
        stream.write_all(&body).ok()?;
    }
}
