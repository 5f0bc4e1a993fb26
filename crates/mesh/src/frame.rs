//! Length-prefixed frames in a byte buffer.

use speedy::{LittleEndian, Readable, Writable};

/// Longest frame, bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// The frame cannot be read; the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong,
    /// Not the expected message.
    Undecodable,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            FrameError::TooLong => "a frame is longer than allowed",
            FrameError::Undecodable => "a frame cannot be decoded",
        })
    }
}

impl std::error::Error for FrameError {}

/// Appends one message as a frame.
pub fn encode_frame<T: Writable<LittleEndian>>(message: &T, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = message.write_to_vec().expect("encoding to memory cannot fail");
    output.extend_from_slice(&encoded);
    output[start..start + LENGTH_BYTES].copy_from_slice(&(encoded.len() as u32).to_le_bytes());
}

/// Reads the first message of a buffer with its length in bytes; `None` while it is not whole.
pub fn decode_frame<T>(input: &[u8]) -> Result<Option<(T, usize)>, FrameError>
where
    T: for<'a> Readable<'a, LittleEndian>,
{
    let Some(prefix) = input.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*prefix) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let end = LENGTH_BYTES + length;
    let Some(content) = input.get(LENGTH_BYTES..end) else {
        return Ok(None);
    };
    let message = T::read_from_buffer(content).map_err(|_| FrameError::Undecodable)?;
    Ok(Some((message, end)))
}
