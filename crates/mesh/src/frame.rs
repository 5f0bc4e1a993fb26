//! Length-prefixed frames in a byte buffer.

use speedy::{LittleEndian, Readable, Writable};

/// Maximum length of a frame's content, bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
const LENGTH_BYTES: usize = 4;

/// A frame cannot be decoded; the connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// Longer than [`MAX_FRAME_BYTES`].
    TooLong,
    /// The content is not a message of the expected type.
    Undecodable,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            FrameError::TooLong => "frame exceeds the maximum length",
            FrameError::Undecodable => "frame content cannot be decoded",
        })
    }
}

impl std::error::Error for FrameError {}

/// Appends a message to `output` as one frame.
pub fn encode_frame<T: Writable<LittleEndian>>(message: &T, output: &mut Vec<u8>) {
    let start = output.len();
    output.extend_from_slice(&[0; LENGTH_BYTES]);
    let encoded = message.write_to_vec().expect("encoding to memory cannot fail");
    output.extend_from_slice(&encoded);
    output[start..start + LENGTH_BYTES].copy_from_slice(&(encoded.len() as u32).to_le_bytes());
}

/// Decodes the first frame of a buffer and returns it with its length in bytes, or `None` while the
/// frame is incomplete.
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
