//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(held, _)| held.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message with a length; `None` if the connection ends before it begins.
pub fn read(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if stream.read_line(&mut message.first)? == 0 {
        return Ok(None);
    }
    message.first.truncate(message.first.trim_end().len());
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    stream.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Connects with the time limits of the stand-ins.
pub fn connect(address: SocketAddrV4, longest: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address.into(), Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(longest))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads its answer.
pub fn call(
    address: SocketAddrV4,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    longest: Duration,
) -> io::Result<Message> {
    let mut stream = connect(address, longest)?;
    let mut text = format!("POST {target} HTTP/1.1\r\nHost: {address}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    stream.write_all(text.as_bytes())?;
    stream.write_all(body)?;
    read(&mut io::BufReader::new(stream))?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
