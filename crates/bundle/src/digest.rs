//! SHA-256 digests of objects and bundles.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use speedy::{Readable, Writable};
use std::fmt;
use std::str::FromStr;

/// Size of a digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// A SHA-256 digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Readable, Writable)]
pub struct Digest(pub [u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let hash = ring::digest::digest(&ring::digest::SHA256, bytes);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(hash.as_ref());
        Digest(digest)
    }

    /// The first 12 hexadecimal digits, for logs and messages.
    pub fn short(&self) -> String {
        self.to_string()[..12].to_owned()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.short())
    }
}

/// The text is not 64 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DigestParseError;

impl fmt::Display for DigestParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a digest is 64 hexadecimal digits")
    }
}

impl std::error::Error for DigestParseError {}

impl FromStr for Digest {
    type Err = DigestParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let valid = text.len() == 2 * DIGEST_BYTES && text.is_ascii();
        if !valid {
            return Err(DigestParseError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestParseError)?;
        }
        Ok(Digest(digest))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}
