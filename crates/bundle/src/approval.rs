//! Ed25519 signatures of operators, verified by the control plane and again by every proxy.

use crate::Digest;
use ring::signature::{UnparsedPublicKey, ED25519};
use snafu::{ensure, OptionExt, Snafu};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Domain separation: an approval signature is never valid for another kind of message.
const APPROVAL_CONTEXT: &[u8] = b"chutecove bundle approval v1\n";
const PUBLIC_KEY_BYTES: usize = 32;

/// An operator's approval of a bundle.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Approval {
    /// Name of the approving operator.
    #[speedy(length_type = u64_varint)]
    pub operator: String,
    /// Ed25519 signature over [`approval_message`].
    #[speedy(length_type = u64_varint)]
    pub signature: Vec<u8>,
}

/// Reason a signature was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ApprovalError {
    /// No key is listed for the operator.
    #[snafu(display("operator '{operator}' is not known here"))]
    UnknownOperator {
        /// Name of the operator.
        operator: String,
    },
    /// The signature does not match the message and the operator's key.
    #[snafu(display("the signature is not operator '{operator}'s"))]
    BadSignature {
        /// Name of the operator.
        operator: String,
    },
    /// A listed key is not 64 hexadecimal digits.
    #[snafu(display("the key of operator '{operator}' is not 64 hexadecimal digits"))]
    BadKey {
        /// Name of the operator.
        operator: String,
    },
}

/// Builds the message that an operator signs to approve a bundle.
pub fn approval_message(digest: &Digest) -> Vec<u8> {
    let mut message = APPROVAL_CONTEXT.to_vec();
    message.extend_from_slice(&digest.0);
    message
}

/// Public keys of the operators, by name.
#[derive(Clone, Debug, Default)]
pub struct OperatorKeys(BTreeMap<String, [u8; PUBLIC_KEY_BYTES]>);

impl OperatorKeys {
    /// Adds a key given as 64 hexadecimal digits.
    pub fn insert_hex(&mut self, operator: &str, hex: &str) -> Result<(), ApprovalError> {
        let key: Digest = hex.parse().ok().context(BadKeySnafu { operator })?;
        self.0.insert(operator.to_owned(), key.0);
        Ok(())
    }

    /// Whether no key is listed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Verifies an operator's signature over a message.
    pub fn verify(
        &self,
        operator: &str,
        message: &[u8],
        signature: &[u8],
    ) -> Result<(), ApprovalError> {
        let key = self.0.get(operator).context(UnknownOperatorSnafu { operator })?;
        let valid = UnparsedPublicKey::new(&ED25519, key).verify(message, signature).is_ok();
        ensure!(valid, BadSignatureSnafu { operator });
        Ok(())
    }

    /// Verifies the approval of the bundle with this digest.
    pub fn verify_approval(
        &self,
        digest: &Digest,
        approval: &Approval,
    ) -> Result<(), ApprovalError> {
        self.verify(&approval.operator, &approval_message(digest), &approval.signature)
    }
}
