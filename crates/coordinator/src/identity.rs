//! The member id of this process.
//!
//! A process with an empty disk never reuses an earlier member id: that member may have cast votes
//! and acknowledged entries that are lost with the disk.

use mesh::MemberId;
use settings::CoordinatorSettings;
use snafu::{ResultExt, Snafu};
use std::net::Ipv4Addr;
use storage::{open_data_folder, DataFolder, FolderIdentity, StorageError, IDENTITY_FILE};

/// The data folder is unusable.
#[derive(Debug, Snafu)]
#[snafu(display("{source}"))]
pub struct IdentityError {
    source: StorageError,
}

/// Chooses the member id for an empty disk.
pub fn choose_member(
    own: Ipv4Addr,
    seeds: &[Ipv4Addr],
    bootstrap: bool,
    random: &mut fastrand::Rng,
) -> MemberId {
    if bootstrap && seeds.contains(&own) {
        return MemberId::first_at(own);
    }
    MemberId::new(own, random.u32(1..))
}

/// Opens the data folder with its member id, or with a new id if the folder is empty.
pub(crate) fn open(
    settings: &CoordinatorSettings,
) -> Result<(DataFolder, MemberId), IdentityError> {
    let path = &settings.data_dir;
    let empty = !path.join(IDENTITY_FILE).exists();
    let identity = if empty {
        let seeds: Vec<Ipv4Addr> = settings.seeds.iter().map(|seed| *seed.ip()).collect();
        let mut random = fastrand::Rng::new();
        let member = choose_member(settings.ip, &seeds, settings.bootstrap, &mut random);
        FolderIdentity { fleet: settings.fleet.clone(), member: member.0 }
    } else {
        DataFolder::identity(path).context(IdentitySnafu)?
    };
    let folder = open_data_folder(path, &identity, empty).context(IdentitySnafu)?;
    Ok((folder, MemberId(identity.member)))
}
