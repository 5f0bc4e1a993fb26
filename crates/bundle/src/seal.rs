//! Sealing of secrets, from the operator's machine to the proxy.
//!
//! Control and relays only ever hold sealed values. Sealing is deterministic (the nonce is a MAC
//! of name and value), so submitting an unchanged secret again does not change its digest and
//! costs no control bytes.

use crate::SealedSecret;
use ring::aead::{Aad, LessSafeKey, Nonce, UnboundKey, CHACHA20_POLY1305};
use ring::hmac;
use snafu::{OptionExt, Snafu};
use std::collections::BTreeMap;
use std::fmt;
use zeroize::Zeroizing;

const KEY_BYTES: usize = 32;

/// One sealing key; the bytes are wiped when it is dropped.
#[derive(Clone)]
pub struct SealKey {
    id: u32,
    bytes: Zeroizing<[u8; KEY_BYTES]>,
}

impl fmt::Debug for SealKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "SealKey({}, redacted)", self.id)
    }
}

/// Why a secret could not be opened or a key not be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SealError {
    /// The key that sealed it is not held here.
    #[snafu(display("secret '{name}' is sealed with key {key_id}, which is not held here"))]
    UnknownKey {
        /// Secret's name.
        name: String,
        /// Missing key.
        key_id: u32,
    },
    /// The sealed value was changed, or sealed under another name.
    #[snafu(display("secret '{name}' does not open with key {key_id}"))]
    DoesNotOpen {
        /// Secret's name.
        name: String,
        /// Key tried.
        key_id: u32,
    },
    /// A key file's line is not `id hex`.
    #[snafu(display("line {line}: a sealing key is a number, a space and 64 hexadecimal digits"))]
    BadKeyFile {
        /// Line, from 1.
        line: usize,
    },
}

impl SealKey {
    /// Makes a key from random bytes.
    pub fn new(id: u32, bytes: [u8; KEY_BYTES]) -> Self {
        SealKey { id, bytes: Zeroizing::new(bytes) }
    }

    /// The line that stands for this key in a key file.
    pub fn to_line(&self) -> Zeroizing<String> {
        let hex: String = self.bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Zeroizing::new(format!("{} {hex}", self.id))
    }

    fn cipher(&self) -> LessSafeKey {
        let key = UnboundKey::new(&CHACHA20_POLY1305, self.bytes.as_ref());
        LessSafeKey::new(key.expect("the key has the cipher's length"))
    }

    /// Seals a value under a name.
    pub fn seal(&self, name: &str, value: &str) -> SealedSecret {
        let mac_key = hmac::Key::new(hmac::HMAC_SHA256, self.bytes.as_ref());
        let mut context = hmac::Context::with_key(&mac_key);
        context.update(&(name.len() as u32).to_le_bytes());
        context.update(name.as_bytes());
        context.update(value.as_bytes());
        let mut nonce = [0; 12];
        nonce.copy_from_slice(&context.sign().as_ref()[..12]);
        let mut ciphertext = value.as_bytes().to_vec();
        self.cipher()
            .seal_in_place_append_tag(
                Nonce::assume_unique_for_key(nonce),
                Aad::from(name.as_bytes()),
                &mut ciphertext,
            )
            .expect("the value is far below the cipher's limit");
        SealedSecret { name: name.to_owned(), key_id: self.id, nonce, ciphertext }
    }
}

/// All sealing keys held, by id; several during a key replacement.
#[derive(Clone, Debug, Default)]
pub struct SealKeys(BTreeMap<u32, SealKey>);

impl SealKeys {
    /// Reads a key file: one key a line, the newest last.
    pub fn parse(text: &str) -> Result<Self, SealError> {
        let mut keys = SealKeys::default();
        for (index, line) in text.lines().enumerate() {
            if line.trim().is_empty() || line.starts_with('#') {
                continue;
            }
            let key = parse_key(line).context(BadKeyFileSnafu { line: index + 1 })?;
            keys.insert(key);
        }
        Ok(keys)
    }

    /// Adds a key.
    pub fn insert(&mut self, key: SealKey) {
        self.0.insert(key.id, key);
    }

    /// The key with the highest id, used for sealing.
    pub fn newest(&self) -> Option<&SealKey> {
        self.0.values().next_back()
    }

    /// Opens a sealed secret; the value is wiped when dropped.
    pub fn open(&self, secret: &SealedSecret) -> Result<Zeroizing<String>, SealError> {
        let (name, key_id) = (&secret.name, secret.key_id);
        let key = self.0.get(&key_id).context(UnknownKeySnafu { name, key_id })?;
        let mut buffer = Zeroizing::new(secret.ciphertext.clone());
        let nonce = Nonce::assume_unique_for_key(secret.nonce);
        let aad = Aad::from(name.as_bytes());
        let opened = key.cipher().open_in_place(nonce, aad, &mut buffer).ok();
        let value = opened.and_then(|bytes| std::str::from_utf8(bytes).ok());
        let value = value.context(DoesNotOpenSnafu { name, key_id })?;
        Ok(Zeroizing::new(value.to_owned()))
    }
}

fn parse_key(line: &str) -> Option<SealKey> {
    let (id, hex) = line.trim().split_once(' ')?;
    let digest: crate::Digest = hex.trim().parse().ok()?;
    Some(SealKey::new(id.parse().ok()?, digest.0))
}
