//! API keys of teams: secrets, digests, and the table that requests are
//! authenticated against.

use std::collections::HashMap;
use std::fmt;

use constant_time_eq::constant_time_eq_32;
use filbertgrade_coord::names::TeamName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Prefix of every secret, so that scans find leaked ones.
const SECRET_PREFIX: &str = "fgk_";

/// Number of random bytes in the public id of a key.
const ID_BYTES: usize = 8;

/// Number of random bytes in the secret part of a key.
const SECRET_BYTES: usize = 24;

/// A key as callers present it: `fgk_<id>_<secret>`, both parts in hexadecimal.
///
/// `Debug` prints only the id.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret {
    id: String,
    text: String,
}

impl KeySecret {
    /// Generates a key from the operating system's random source.
    ///
    /// # Errors
    ///
    /// Fails if the random source fails.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut bytes = [0_u8; ID_BYTES + SECRET_BYTES];
        getrandom::fill(&mut bytes)?;
        let (id, secret) = bytes.split_at(ID_BYTES);
        let id = hex(id);
        let text = format!("{SECRET_PREFIX}{id}_{}", hex(secret));
        Ok(Self { id, text })
    }

    /// Parses a key that a caller presents, or returns `None` if it is malformed.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (id, secret) = text.strip_prefix(SECRET_PREFIX)?.split_once('_')?;
        let well_formed = id.len() == 2 * ID_BYTES
            && secret.len() == 2 * SECRET_BYTES
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
        well_formed.then(|| Self {
            id: id.to_owned(),
            text: text.to_owned(),
        })
    }

    /// The public id; the digest is stored under `keys/<id>`.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The whole key in clear text, to be shown to its owner once.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// The digest of the whole key, the only form that is stored.
    #[must_use]
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.text.as_bytes()).into())
    }
}

impl fmt::Debug for KeySecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeySecret({}, redacted)", self.id)
    }
}

/// SHA-256 digest of a key, compared in constant time.
#[derive(Clone, Copy)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest in hexadecimal.
    #[must_use]
    pub fn to_hex(self) -> String {
        hex(&self.0)
    }

    fn from_hex(text: &str) -> Option<Self> {
        let mut bytes = [0_u8; 32];
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(bytes))
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        constant_time_eq_32(&self.0, &other.0)
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(redacted)")
    }
}

/// Stored form of a key, the object `keys/<id>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Team that the key belongs to.
    pub team: String,
    /// Digest of the key, in hexadecimal.
    pub digest: String,
    /// Whether the key is accepted.
    pub state: KeyState,
}

/// Whether a key is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyState {
    /// Requests with the key are accepted.
    Granted,
    /// Requests with the key are refused.
    Withdrawn,
}

impl fmt::Display for KeyState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Granted => "granted",
            Self::Withdrawn => "withdrawn",
        })
    }
}

/// The granted keys in force, by id.
#[derive(Clone, Debug, Default)]
pub struct KeyTable {
    by_id: HashMap<String, Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    team: TeamName,
    digest: KeyDigest,
}

impl KeyTable {
    /// Adds a key record. Withdrawn and malformed records are left out, so
    /// that their keys are refused like unknown ones.
    pub(crate) fn insert(&mut self, id: &str, record: &KeyRecord) {
        if record.state == KeyState::Withdrawn {
            return;
        }
        let team = TeamName::try_from(record.team.as_str());
        let digest = KeyDigest::from_hex(&record.digest);
        if let (Ok(team), Some(digest)) = (team, digest) {
            self.by_id.insert(id.to_owned(), Entry { team, digest });
        }
    }

    /// Returns the team that `secret` belongs to, or `None` if the key is not
    /// in force.
    #[must_use]
    pub fn team_of(&self, secret: &KeySecret) -> Option<&TeamName> {
        let entry = self.by_id.get(secret.id())?;
        (entry.digest == secret.digest()).then_some(&entry.team)
    }

    /// Number of keys in force.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no key is in force.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }
}

fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
