//! Keys of teams: secrets, digests, and the table that a request is checked
//! against.

use std::collections::HashMap;
use std::fmt;

use constant_time_eq::constant_time_eq_32;
use filbertgrade_coord::names::TeamName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Start of every secret, so that a leaked one is easy to find.
const SECRET_PREFIX: &str = "fgk_";

/// Random bytes of the public id of a key.
const ID_BYTES: usize = 8;

/// Random bytes of a secret.
const SECRET_BYTES: usize = 24;

/// A key as its caller shows it: `fgk_<id>_<secret>` in hexadecimal.
///
/// It prints redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct KeySecret {
    id: String,
    text: String,
}

impl KeySecret {
    /// Makes a key from the operating system's random source.
    ///
    /// # Errors
    ///
    /// Fails when the random source does.
    pub fn generate() -> Result<Self, getrandom::Error> {
        let mut bytes = [0_u8; ID_BYTES + SECRET_BYTES];
        getrandom::fill(&mut bytes)?;
        let (id, secret) = bytes.split_at(ID_BYTES);
        let id = hex(id);
        let text = format!("{SECRET_PREFIX}{id}_{}", hex(secret));
        Ok(Self { id, text })
    }

    /// Reads a key that a caller shows; `None` when it is not well-formed.
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

    /// The public id, under which the platform holds the digest.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// The whole secret, to be shown once to its owner.
    #[must_use]
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// What the platform holds of the key.
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

/// SHA-256 digest of a secret. Comparison takes the same time for all values.
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
        for (at, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()?;
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

/// A key as the platform holds it, under `keys/<id>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct KeyRecord {
    /// Team that the key belongs to.
    pub team: String,
    /// Digest in hexadecimal.
    pub digest: String,
    /// Whether the key is honoured.
    pub state: KeyState,
}

/// Whether a key is honoured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyState {
    /// The key is honoured.
    Granted,
    /// The key is refused.
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

/// Keys in force.
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
    /// Adds a key record; withdrawn and malformed ones are left out, so they
    /// are refused like unknown ones.
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

    /// The team whose key `secret` is, if the key is in force.
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

    /// No key is in force.
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
