//! Length-prefixed frames with a size limit that is checked before memory is allocated.

use snafu::{ensure, ResultExt, Snafu};
use speedy::{LittleEndian, Readable, Writable};
use std::io::{self, Read, Write};

/// Maximum length of a frame's payload, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
const LENGTH_PREFIX_BYTES: usize = 4;

/// Error from reading or writing a frame.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed or was closed.
    #[snafu(display("connection lost: {source}"))]
    Io {
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The payload is longer than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"))]
    TooLong {
        /// Length of the payload, in bytes.
        bytes: usize,
    },
    /// The payload cannot be encoded as, or decoded into, the expected message type.
    #[snafu(display("frame cannot be encoded or decoded: {source}"))]
    Undecodable {
        /// Underlying serialization error.
        source: speedy::Error,
    },
}

/// Writes one message as a frame and returns the number of bytes written, length prefix included.
pub fn write_frame<T: Writable<LittleEndian>>(
    stream: &mut impl Write,
    message: &T,
) -> Result<usize, FrameError> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    message.write_to_stream(&mut frame).context(UndecodableSnafu)?;
    let bytes = frame.len() - LENGTH_PREFIX_BYTES;
    ensure!(bytes <= MAX_FRAME_BYTES, TooLongSnafu { bytes });
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&(bytes as u32).to_le_bytes());
    stream.write_all(&frame).context(IoSnafu)?;
    stream.flush().context(IoSnafu)?;
    Ok(frame.len())
}

/// Reads one message and returns it with the number of bytes read, length prefix included.
pub fn read_frame<T>(stream: &mut impl Read) -> Result<(T, usize), FrameError>
where
    T: for<'a> Readable<'a, LittleEndian>,
{
    let mut length = [0; LENGTH_PREFIX_BYTES];
    stream.read_exact(&mut length).context(IoSnafu)?;
    let bytes = u32::from_le_bytes(length) as usize;
    ensure!(bytes <= MAX_FRAME_BYTES, TooLongSnafu { bytes });
    let mut payload = vec![0; bytes];
    stream.read_exact(&mut payload).context(IoSnafu)?;
    let message = T::read_from_buffer(&payload).context(UndecodableSnafu)?;
    Ok((message, LENGTH_PREFIX_BYTES + bytes))
}
