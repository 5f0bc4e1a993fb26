//! Encoding of records: length, checksum and payload.

use consensus::{Entry, HardState};
use speedy::{Readable, Writable};

/// Size of the header in bytes: length and CRC-32 of the payload, both little-endian `u32`.
const HEADER_BYTES: usize = 8;
/// Maximum payload size in bytes; a larger length field is treated as damage.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;

/// Data of one `save`.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct Record {
    /// New hard state, if changed.
    pub hard_state: Option<HardState>,
    /// Entries saved.
    pub entries: Vec<Entry>,
}

/// How a file of records ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailState {
    /// The last record is intact.
    Clean,
    /// The file ends with an incomplete record at this byte offset, caused by a torn write.
    Torn(u64),
    /// The record at this byte offset is damaged, but an intact one follows, so it is no torn write.
    Damaged(u64),
}

/// Encodes a record with its header.
pub fn encode_record<T: Writable<speedy::LittleEndian>>(record: &T) -> Vec<u8> {
    let payload = record.write_to_vec().expect("encoding to memory cannot fail");
    let mut bytes = Vec::with_capacity(HEADER_BYTES + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
    bytes
}

/// Decodes all records before the first damaged or incomplete one, and classifies the end of the
/// data.
pub fn decode_records<T>(bytes: &[u8]) -> (Vec<T>, TailState)
where
    T: for<'a> Readable<'a, speedy::LittleEndian>,
{
    let mut records = Vec::new();
    let mut offset = 0;
    while offset < bytes.len() {
        match decode_at(bytes, offset) {
            Some((record, next)) => {
                records.push(record);
                offset = next;
            }
            None if intact_record_after::<T>(bytes, offset) => {
                return (records, TailState::Damaged(offset as u64));
            }
            None => return (records, TailState::Torn(offset as u64)),
        }
    }
    (records, TailState::Clean)
}

fn decode_at<T>(bytes: &[u8], offset: usize) -> Option<(T, usize)>
where
    T: for<'a> Readable<'a, speedy::LittleEndian>,
{
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    let length = u32::from_le_bytes(header[..4].try_into().ok()?) as usize;
    let checksum = u32::from_le_bytes(header[4..].try_into().ok()?);
    if length == 0 || length > MAX_PAYLOAD_BYTES {
        return None;
    }
    let start = offset + HEADER_BYTES;
    let payload = bytes.get(start..start + length)?;
    if crc32fast::hash(payload) != checksum {
        return None;
    }
    T::read_from_buffer(payload).ok().map(|record| (record, start + length))
}

/// Whether an intact record follows a damaged one. Records are synced in order, so an intact record can
/// follow only if the damaged one was once intact too.
fn intact_record_after<T>(bytes: &[u8], damaged_offset: usize) -> bool
where
    T: for<'a> Readable<'a, speedy::LittleEndian>,
{
    (damaged_offset + 1..bytes.len().saturating_sub(HEADER_BYTES))
        .any(|offset| decode_at::<T>(bytes, offset).is_some())
}
