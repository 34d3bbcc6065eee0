//! The text of the configuration in force in compressed parts, and that of the version being
//! fetched.
//!
//! Parts are named by their digests, so an instance passes them on as soon as it has them, and
//! takes those that a new version shares with the one in force from here.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use coordination::parts::{self, Manifest, PartDigest};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use protocol::routing::Version;
use protocol::secret::Secret;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::time::Duration;
use tokio::sync::Notify;

/// Longest wait for a manifest or a part that another instance expects to be here soon.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Why a part or a text can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartError {
    /// It can't be decoded.
    Malformed,
    /// Its digest isn't the expected one.
    WrongDigest,
    /// A part of the text is missing.
    Incomplete,
}

#[derive(Default)]
struct Held {
    in_force: Option<Manifest>,
    /// The version being fetched.
    pending: Option<Manifest>,
    /// Parts of both, compressed and in base64.
    parts: HashMap<PartDigest, Secret>,
    /// Text of the parts that have arrived for the version being fetched.
    arrived: HashMap<PartDigest, Vec<u8>>,
}

impl Held {
    /// The newest manifest here.
    fn newest(&self) -> Option<&Manifest> {
        self.pending.as_ref().or(self.in_force.as_ref())
    }

    /// Drops the parts that no manifest names.
    fn drop_unused(&mut self) {
        let manifests = [&self.in_force, &self.pending];
        let used: Vec<PartDigest> =
            manifests.into_iter().flatten().flat_map(|found| &found.parts).copied().collect();
        self.parts.retain(|digest, _| used.contains(digest));
        let is_pending = self.pending.is_some();
        self.arrived.retain(|digest, _| is_pending && used.contains(digest));
    }
}

/// The parts held by one instance.
#[derive(Default)]
pub struct Parts {
    held: RefCell<Held>,
    /// Notified when a manifest or a part arrives.
    arrived: Notify,
}

impl Parts {
    /// Holds a version in force whose whole text is known, unless a later one is held.
    pub fn publish(&self, version: Version, text: &str) {
        let is_as_new = |found: &Manifest| found.version >= version;
        if self.held.borrow().in_force.as_ref().is_some_and(is_as_new) {
            return;
        }
        let split = parts::split(text.as_bytes());
        let digests = split.iter().map(|part| parts::digest(part)).collect();
        let digest = parts::digest(text.as_bytes());
        let mut held = self.held.borrow_mut();
        for part in split {
            held.parts.entry(parts::digest(part)).or_insert_with(|| compress(part));
        }
        held.in_force = Some(Manifest { version, digest, parts: digests });
        held.pending.take_if(|pending| pending.version <= version);
        held.drop_unused();
        drop(held);
        self.arrived.notify_waiters();
    }

    /// Begins to fetch a version. Parts that are here already are kept.
    pub fn begin(&self, manifest: Manifest) {
        let mut held = self.held.borrow_mut();
        if held.pending.as_ref() == Some(&manifest) {
            return;
        }
        held.pending = Some(manifest);
        held.drop_unused();
        drop(held);
        self.arrived.notify_waiters();
    }

    /// The first part that the version being fetched lacks.
    pub fn first_missing(&self) -> Option<PartDigest> {
        let held = self.held.borrow();
        let pending = held.pending.as_ref()?;
        pending.parts.iter().copied().find(|digest| !held.parts.contains_key(digest))
    }

    /// Adds a part that another instance sent.
    ///
    /// # Errors
    ///
    /// The part isn't the one with this digest.
    pub fn insert(&self, digest: PartDigest, part: Secret) -> Result<(), PartError> {
        let text = decompress(&part)?;
        if parts::digest(&text) != digest {
            return Err(PartError::WrongDigest);
        }
        let mut held = self.held.borrow_mut();
        held.parts.insert(digest, part);
        held.arrived.insert(digest, text);
        drop(held);
        self.arrived.notify_waiters();
        Ok(())
    }

    /// The whole text of the version being fetched.
    ///
    /// # Errors
    ///
    /// A part is missing, or the text isn't the one that the manifest names.
    pub fn assemble(&self) -> Result<Secret, PartError> {
        let held = self.held.borrow();
        let pending = held.pending.as_ref().ok_or(PartError::Incomplete)?;
        join(&held, pending)
    }

    /// Puts the version being fetched in force.
    pub fn commit(&self) {
        let mut held = self.held.borrow_mut();
        if let Some(pending) = held.pending.take() {
            held.in_force = Some(pending);
        }
        held.drop_unused();
    }

    /// Gives the version being fetched up.
    pub fn abandon(&self) {
        let mut held = self.held.borrow_mut();
        held.pending = None;
        held.drop_unused();
    }

    /// Text of the version in force, if it is newer than `version`.
    pub fn text_after(&self, version: Version) -> Option<(Version, Secret)> {
        let held = self.held.borrow();
        let newer = held.in_force.as_ref().filter(|found| found.version > version)?;
        Some((newer.version, join(&held, newer).ok()?))
    }

    /// The manifest of a version or of a later one, waiting for it for a short time.
    pub async fn wait_for_manifest(&self, version: Version) -> Option<Manifest> {
        self.wait_for(|held| held.newest().filter(|found| found.version >= version).cloned()).await
    }

    /// A part, waiting for it for a short time.
    pub async fn wait_for_part(&self, digest: PartDigest) -> Option<Secret> {
        self.wait_for(|held| held.parts.get(&digest).cloned()).await
    }

    async fn wait_for<T>(&self, find: impl Fn(&Held) -> Option<T>) -> Option<T> {
        let search = async {
            loop {
                let mut arrived = std::pin::pin!(self.arrived.notified());
                arrived.as_mut().enable();
                let found = find(&self.held.borrow());
                if let Some(found) = found {
                    return found;
                }
                arrived.await;
            }
        };
        tokio::time::timeout(MAX_WAIT, search).await.ok()
    }
}

/// Joins the parts of a text.
fn join(held: &Held, manifest: &Manifest) -> Result<Secret, PartError> {
    let mut text = Vec::new();
    for digest in &manifest.parts {
        if let Some(arrived) = held.arrived.get(digest) {
            text.extend_from_slice(arrived);
            continue;
        }
        let part = held.parts.get(digest).ok_or(PartError::Incomplete)?;
        text.extend(decompress(part)?);
    }
    if parts::digest(&text) != manifest.digest {
        return Err(PartError::WrongDigest);
    }
    let text = String::from_utf8(text).map_err(|_not_text| PartError::Malformed)?;
    Ok(Secret::from(text))
}

fn compress(part: &[u8]) -> Secret {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory can't fail.
    let _written = encoder.write_all(part);
    Secret::from(STANDARD.encode(encoder.finish().unwrap_or_default()))
}

fn decompress(part: &Secret) -> Result<Vec<u8>, PartError> {
    let compressed = STANDARD.decode(part.expose()).map_err(|_error| PartError::Malformed)?;
    let mut bytes = Vec::new();
    let mut decoder = DeflateDecoder::new(&*compressed).take(parts::MAX_BYTES as u64 + 1);
    decoder.read_to_end(&mut bytes).map_err(|_error| PartError::Malformed)?;
    Ok(bytes)
}
