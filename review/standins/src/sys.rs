//! Socket options and a signal that the standard library does not offer.

use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SIGTERM: i32 = 15;

/// Sends SIGTERM to a process that this test started.
pub fn terminate(pid: u32) {
    // SAFETY: `kill` takes two integers.
    unsafe { kill(pid as i32, SIGTERM) };
}

/// Gives the connections of a listener the segments and windows of a link between machines.
/// Loopback has segments of 64 kB, and its buffers hold some megabytes.
pub fn set_small_windows(listener: &TcpListener) {
    for (level, name, value) in [(IPPROTO_TCP, TCP_MAXSEG, 1_400), (SOL_SOCKET, SO_RCVBUF, 16_384)]
    {
        // SAFETY: the value is a valid pointer to an integer of the given length.
        unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) };
    }
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    let linger = [1_i32, 0];
    // SAFETY: `struct linger` is two integers, and the pointer is to both.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    drop(stream);
}
