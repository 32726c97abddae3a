//! Files of token keys, and the file of addresses at which players reach the fronts.

use super::*;
use pulleystair_dash::token::KeyRing;
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The keys in effect, as a file that may be replaced while plays are running.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    /// Keys of the portal's entry tokens.
    pub entry: Vec<KeyFile>,
    /// Keys of session tokens; the first one signs.
    pub pass: Vec<KeyFile>,
    /// Sessions that are ended and not accepted again.
    #[serde(default)]
    pub revoked: Vec<String>,
}

/// Maximum number of revoked sessions in the file.
const MAX_REVOKED: usize = 100_000;

/// Secrets with their key ids.
type Secrets = Vec<(String, Vec<u8>)>;

impl Keys {
    /// Loads and checks the file, and the files of secrets that it names. Returns its content, the secrets of entry
    /// tokens, and the secrets of session tokens.
    pub fn load(file: &Path) -> Result<(Keys, Secrets, Secrets), LoadError> {
        let keys: Keys = load(file)?;
        if keys.revoked.len() > MAX_REVOKED {
            let found = format!("{} of them", keys.revoked.len());
            return Err(invalid_value(file, "revoked", found, "at most 100000"));
        }
        let folder = file.parent().unwrap_or(Path::new(""));
        let checked_secrets = |path: &str, keys: &[KeyFile]| {
            let value_error =
                |cause| LoadError::Value { file: file.display().to_string(), path: path.into(), cause };
            let secrets = load_secrets(folder, keys).map_err(value_error)?;
            KeyRing::new(&secrets).map_err(|e| value_error(e.to_string()))?;
            Ok(secrets)
        };
        let (entry_secrets, session_secrets) =
            (checked_secrets("entry", &keys.entry)?, checked_secrets("pass", &keys.pass)?);
        Ok((keys, entry_secrets, session_secrets))
    }
}

/// A key id and the file of its secret.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    /// Id of the key, which tokens name.
    pub kid: String,
    /// File of the secret's bytes, without the line end after them; relative to the folder of the file that names it.
    pub file: PathBuf,
}

/// Loads the file of home addresses: where players reach each of `fronts` fronts, by rank.
pub fn load_home_addresses(file: &Path, fronts: usize) -> Result<Vec<String>, LoadError> {
    let addresses: Vec<String> = load(file)?;
    if addresses.len() != fronts {
        return Err(invalid_value(
            file,
            "homes",
            format!("{} of them", addresses.len()),
            "one for each front",
        ));
    }
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-.:[]".contains(&b);
    let first_invalid =
        addresses.iter().position(|a| a.is_empty() || a.len() > 255 || !a.bytes().all(is_allowed));
    match first_invalid {
        Some(i) => {
            Err(invalid_value(file, &format!("[{i}]"), format!("{:?}", addresses[i]), "HOST or HOST:PORT"))
        }
        None => Ok(addresses),
    }
}

/// Loads the secrets of keys from their files, without the line end after them.
fn load_secrets(folder: &Path, keys: &[KeyFile]) -> Result<Secrets, String> {
    let load_secret = |key: &KeyFile| {
        let file = folder.join(&key.file);
        let secret = std::fs::read(&file);
        let mut secret = secret.map_err(|e| format!("key {:?}: {}: {e}", key.kid, file.display()))?;
        while secret.last().is_some_and(|b| b"\r\n".contains(b)) {
            secret.pop();
        }
        Ok((key.kid.clone(), secret))
    };
    keys.iter().map(load_secret).collect()
}

impl Config {
    /// Loads the key ring of entry tokens, that of session tokens, and the revoked sessions, from the file of keys if
    /// there is one. The error has the path of the invalid value in the configuration.
    pub fn key_rings(&self) -> Result<(KeyRing, KeyRing, Vec<String>), (&'static str, String)> {
        let key_ring = |path, secrets: &Secrets| KeyRing::new(secrets).map_err(|e| (path, e.to_string()));
        if let Some(file) = &self.keys {
            let (keys, entry_secrets, session_secrets) =
                Keys::load(file).map_err(|e| ("keys", e.to_string()))?;
            return Ok((
                key_ring("keys", &entry_secrets)?,
                key_ring("keys", &session_secrets)?,
                keys.revoked,
            ));
        }
        let load_ring = |path, keys: &[KeyFile]| {
            let secrets = load_secrets(Path::new(""), keys).map_err(|e| (path, e))?;
            key_ring(path, &secrets)
        };
        Ok((load_ring("entry_keys", &self.entry_keys)?, load_ring("pass_keys", &self.pass_keys)?, Vec::new()))
    }
}
