//! How the end of a connection is read.

use http1::StreamEnd;
use std::io;

/// The first error that a write on a connection met.
///
/// An error belongs to the connection, not to the write: the write takes it off the socket, so that
/// the read that follows returns the end of the stream as if the other side had closed in order.
/// A body without a length, which lasts until that end, would then pass for whole.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteFailure {
    first: Option<io::ErrorKind>,
}

impl WriteFailure {
    /// Notes the error of a write.
    pub fn note(&mut self, kind: io::ErrorKind) {
        self.first.get_or_insert(kind);
    }

    /// The first error.
    pub fn kind(self) -> Option<io::ErrorKind> {
        self.first
    }

    /// How the other side ended the stream, if a read has returned its end.
    ///
    /// A broken pipe as the first error says that the other side had ended its direction in order
    /// before it refused more: all that it sent has arrived. After any other error, what it sent
    /// may have been lost.
    pub fn end_of_stream(self) -> StreamEnd {
        match self.first {
            None | Some(io::ErrorKind::BrokenPipe) => StreamEnd::Clean,
            Some(_) => StreamEnd::Reset,
        }
    }
}
