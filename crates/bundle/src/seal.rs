//! Sealing: encryption of secrets between the operator's machine and the proxies.
//!
//! The control plane and relays only hold sealed values. Sealing is deterministic (the nonce is a
//! MAC of name and value), so submitting an unchanged secret again does not change its digest and
//! causes no control traffic.

use crate::SealedSecret;
use ring::aead::{Aad, LessSafeKey, Nonce, UnboundKey, CHACHA20_POLY1305};
use ring::hmac;
use snafu::{OptionExt, Snafu};
use std::collections::BTreeMap;
use std::fmt;
use zeroize::Zeroizing;

const KEY_BYTES: usize = 32;

/// A sealing key; its bytes are zeroed on drop.
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

/// Error opening a secret or parsing a key file.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum SealError {
    /// The sealing key of the secret is not available.
    #[snafu(display("secret '{name}' is sealed with key {key_id}, which is not held here"))]
    UnknownKey {
        /// Name of the secret.
        name: String,
        /// Id of the missing key.
        key_id: u32,
    },
    /// Authentication failed, for example because the value was modified or sealed under another
    /// name.
    #[snafu(display("secret '{name}' does not open with key {key_id}"))]
    DoesNotOpen {
        /// Name of the secret.
        name: String,
        /// Id of the key used.
        key_id: u32,
    },
    /// A line of a key file does not have the form `id hex`.
    #[snafu(display("line {line}: a sealing key is a number, a space and 64 hexadecimal digits"))]
    BadKeyFile {
        /// Line number, starting at 1.
        line: usize,
    },
}

impl SealKey {
    /// Creates a key from random bytes.
    pub fn new(id: u32, bytes: [u8; KEY_BYTES]) -> Self {
        SealKey { id, bytes: Zeroizing::new(bytes) }
    }

    /// Formats the key as a line of a key file.
    pub fn to_line(&self) -> Zeroizing<String> {
        let hex: String = self.bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        Zeroizing::new(format!("{} {hex}", self.id))
    }

    fn cipher(&self) -> LessSafeKey {
        let key = UnboundKey::new(&CHACHA20_POLY1305, self.bytes.as_ref());
        LessSafeKey::new(key.expect("the key has the cipher's length"))
    }

    /// Encrypts a secret value and binds it to its name.
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

/// The available sealing keys, by id; there are several during key rotation.
#[derive(Clone, Debug, Default)]
pub struct SealKeys(BTreeMap<u32, SealKey>);

impl SealKeys {
    /// Parses a key file: one key per line, the newest last.
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

    /// The key with the highest id, which is used for sealing.
    pub fn newest(&self) -> Option<&SealKey> {
        self.0.values().next_back()
    }

    /// Decrypts a sealed secret; the returned value is zeroed on drop.
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
