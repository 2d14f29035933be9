//! Identity file, which names the node and the disk that a data folder belongs to.

use juniper_consensus::{DiskIdentity, ReplicaId};
use juniper_types::NodeId;
use minicbor::{Decode, Encode};

use crate::codec::{encode, read_u32};
use crate::disk::{Disk, DiskError};
use crate::error::{Damage, OpenError};

/// Name of the identity file, which is created last when a folder is formatted.
pub(crate) const IDENTITY_FILE: &str = "identity";
const NEW_IDENTITY_FILE: &str = "identity.new";

#[derive(Encode, Decode)]
#[cbor(map)]
struct Content {
    #[n(0)]
    node: NodeId,
    #[n(1)]
    disk: DiskIdentity,
    /// Inode number of the identity file, which differs in a copy of the folder.
    #[n(2)]
    inode: u64,
}

/// Writes the identity file durably.
pub(crate) fn write_identity(disk: &mut impl Disk, id: ReplicaId) -> Result<(), DiskError> {
    disk.create(NEW_IDENTITY_FILE)?;
    let inode = disk.inode(NEW_IDENTITY_FILE)?;
    let body = encode(&Content { node: id.node, disk: id.disk, inode });
    let mut bytes = crc32fast::hash(&body).to_be_bytes().to_vec();
    bytes.extend_from_slice(&body);
    disk.write_at(NEW_IDENTITY_FILE, 0, &bytes)?;
    disk.sync(NEW_IDENTITY_FILE)?;
    disk.rename(NEW_IDENTITY_FILE, IDENTITY_FILE)?;
    disk.sync_folder()
}

/// Reads the identity file and rejects a copied folder.
pub(crate) fn read_identity(disk: &mut impl Disk) -> Result<ReplicaId, OpenError> {
    if !disk.list()?.iter().any(|file| file == IDENTITY_FILE) {
        return Err(OpenError::NotFormatted);
    }
    let bytes = disk.read(IDENTITY_FILE)?;
    let content = decode(&bytes).map_err(|kind| OpenError::Damaged {
        file: IDENTITY_FILE.to_owned(),
        offset: 0,
        kind,
    })?;
    if disk.inode(IDENTITY_FILE)? != content.inode {
        return Err(OpenError::Copied);
    }
    Ok(ReplicaId { node: content.node, disk: content.disk })
}

fn decode(bytes: &[u8]) -> Result<Content, Damage> {
    let body = bytes.get(4..).ok_or(Damage::Missing)?;
    if read_u32(bytes, 0) != Some(crc32fast::hash(body)) {
        return Err(Damage::Checksum);
    }
    minicbor::decode(body).map_err(|_| Damage::Malformed)
}
