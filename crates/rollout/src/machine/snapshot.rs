//! Encoding of the whole state, for checkpoints and for replicas that lag far behind.

use super::canaries::Canaries;
use super::evacuations::Evacuations;
use super::records::{GenerationRecord, RecordedAnswer, Rollout, StoredBundle, VersionClaim};
use super::ConfigMachine;
use crate::{ApprovalPolicy, GenerationTarget};
use bundle::{Approval, Bundle};
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

#[derive(Readable, Writable)]
struct EncodedBundle {
    objects: Vec<u8>,
    version: u64,
    submitter: String,
    approval: Option<Approval>,
}

#[derive(Readable, Writable)]
struct EncodedMachine {
    revision: u64,
    bundles: Vec<EncodedBundle>,
    versions: BTreeMap<u64, VersionClaim>,
    base: GenerationTarget,
    rollout: Option<Rollout>,
    newest_generation: u64,
    history: Vec<GenerationRecord>,
    answers: Vec<RecordedAnswer>,
    policy: ApprovalPolicy,
    current_version: u64,
    /// Missing in checkpoints of earlier releases.
    #[speedy(default_on_eof)]
    canaries: Canaries,
    /// Missing in checkpoints of earlier releases.
    #[speedy(default_on_eof)]
    evacuations: Evacuations,
}

impl ConfigMachine {
    /// Encodes the whole state.
    pub fn encode(&self) -> Vec<u8> {
        let bundles = self.bundle_order.iter().filter_map(|digest| self.bundles.get(digest));
        let encoded = EncodedMachine {
            revision: self.revision,
            bundles: bundles.map(encode_bundle).collect(),
            versions: self.versions.clone(),
            base: self.base.clone(),
            rollout: self.rollout.clone(),
            newest_generation: self.newest_generation,
            history: self.history.iter().cloned().collect(),
            answers: self.answers.iter().cloned().collect(),
            policy: self.policy.clone(),
            current_version: self.current_version,
            canaries: self.canaries.clone(),
            evacuations: self.evacuations.clone(),
        };
        encoded.write_to_vec().expect("encoding to memory cannot fail")
    }

    /// Decodes the output of [`ConfigMachine::encode`]. Empty input decodes to the state of a new fleet.
    pub fn decode(bytes: &[u8]) -> Result<Self, speedy::Error> {
        if bytes.is_empty() {
            return Ok(ConfigMachine::default());
        }
        let encoded = EncodedMachine::read_from_buffer(bytes)?;
        let mut machine = ConfigMachine {
            revision: encoded.revision,
            versions: encoded.versions,
            base: encoded.base,
            rollout: encoded.rollout,
            newest_generation: encoded.newest_generation,
            history: encoded.history.into(),
            answers: encoded.answers.into(),
            policy: encoded.policy,
            current_version: encoded.current_version,
            canaries: encoded.canaries,
            evacuations: encoded.evacuations,
            ..ConfigMachine::default()
        };
        for stored in encoded.bundles {
            let bundle = Bundle::decode(&stored.objects)?;
            let digest = bundle.digest();
            machine.bundle_order.push_back(digest);
            machine.bundles.insert(
                digest,
                StoredBundle {
                    bundle,
                    version: stored.version,
                    submitter: stored.submitter,
                    approval: stored.approval,
                },
            );
        }
        Ok(machine)
    }
}

fn encode_bundle(stored: &StoredBundle) -> EncodedBundle {
    EncodedBundle {
        objects: stored.bundle.encode(),
        version: stored.version,
        submitter: stored.submitter.clone(),
        approval: stored.approval.clone(),
    }
}
