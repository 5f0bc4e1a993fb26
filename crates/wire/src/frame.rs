//! Length-prefixed frames with a size limit that is checked before memory is taken.

use snafu::{ensure, ResultExt, Snafu};
use speedy::{LittleEndian, Readable, Writable};
use std::io::{self, Read, Write};

/// Longest frame, bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// Why a frame was not read or written.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// The connection failed or was closed.
    #[snafu(display("connection lost: {source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// The frame is too long.
    #[snafu(display("a frame of {bytes} bytes, at most {MAX_FRAME_BYTES} are allowed"))]
    TooLong {
        /// Announced length.
        bytes: usize,
    },
    /// The content is not the expected message.
    #[snafu(display("the frame cannot be decoded: {source}"))]
    Undecodable {
        /// Cause.
        source: speedy::Error,
    },
}

/// Writes one message; returns the bytes written.
pub fn write_frame<T: Writable<LittleEndian>>(
    stream: &mut impl Write,
    message: &T,
) -> Result<usize, FrameError> {
    let mut frame = vec![0; LENGTH_BYTES];
    message.write_to_stream(&mut frame).context(UndecodableSnafu)?;
    let bytes = frame.len() - LENGTH_BYTES;
    ensure!(bytes <= MAX_FRAME_BYTES, TooLongSnafu { bytes });
    frame[..LENGTH_BYTES].copy_from_slice(&(bytes as u32).to_le_bytes());
    stream.write_all(&frame).context(IoSnafu)?;
    stream.flush().context(IoSnafu)?;
    Ok(frame.len())
}

/// Reads one message; returns it with the bytes read.
pub fn read_frame<T>(stream: &mut impl Read) -> Result<(T, usize), FrameError>
where
    T: for<'a> Readable<'a, LittleEndian>,
{
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).context(IoSnafu)?;
    let bytes = u32::from_le_bytes(length) as usize;
    ensure!(bytes <= MAX_FRAME_BYTES, TooLongSnafu { bytes });
    let mut content = vec![0; bytes];
    stream.read_exact(&mut content).context(IoSnafu)?;
    let message = T::read_from_buffer(&content).context(UndecodableSnafu)?;
    Ok((message, LENGTH_BYTES + bytes))
}
