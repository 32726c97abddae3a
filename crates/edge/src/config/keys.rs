//! Keys of tokens, and where players reach the fronts.

use super::*;
use pulleystair_dash::token::KeyRing;
use pulleystair_jsonnet::{LoadError, invalid_value, load};
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The keys in service, as a file that may be replaced while plays run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Keys {
    pub entry: Vec<KeyFile>,
    pub pass: Vec<KeyFile>,
    /// Sessions that are to end, and may not come again.
    #[serde(default)]
    pub revoked: Vec<String>,
}

/// Sessions that may be revoked at once.
const MOST_REVOKED: usize = 100_000;

/// Keys by their ids.
type Secrets = Vec<(String, Vec<u8>)>;

impl Keys {
    /// Reads the file, and the secrets that it names from its folder: those of entries and those of passes.
    pub fn read(file: &Path) -> Result<(Keys, Secrets, Secrets), LoadError> {
        let keys: Keys = load(file)?;
        if keys.revoked.len() > MOST_REVOKED {
            let found = format!("{} of them", keys.revoked.len());
            return Err(invalid_value(file, "revoked", found, "at most 100000"));
        }
        let folder = file.parent().unwrap_or(Path::new(""));
        let secrets = |path: &str, keys: &[KeyFile]| {
            let fault =
                |cause| LoadError::Value { file: file.display().to_string(), path: path.into(), cause };
            let secrets = secrets(folder, keys).map_err(fault)?;
            KeyRing::new(&secrets).map_err(|e| fault(e.to_string()))?;
            Ok(secrets)
        };
        let (entry, pass) = (secrets("entry", &keys.entry)?, secrets("pass", &keys.pass)?);
        Ok((keys, entry, pass))
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    pub kid: String,
    /// The secret's bytes, a line end after them left out; from the folder of the file that names it.
    pub file: PathBuf,
}

/// Reads where players reach the fronts of a fleet, so many of them.
pub fn homes(file: &Path, fronts: usize) -> Result<Vec<String>, LoadError> {
    let homes: Vec<String> = load(file)?;
    if homes.len() != fronts {
        return Err(invalid_value(file, "homes", format!("{} of them", homes.len()), "one for each front"));
    }
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-.:[]".contains(&b);
    let bad = homes.iter().position(|at| at.is_empty() || at.len() > 255 || !at.bytes().all(plain));
    match bad {
        Some(i) => {
            Err(invalid_value(file, &format!("[{i}]"), format!("{:?}", homes[i]), "HOST or HOST:PORT"))
        }
        None => Ok(homes),
    }
}

/// The secrets of keys, from their files; a line end after them is left out.
fn secrets(folder: &Path, keys: &[KeyFile]) -> Result<Secrets, String> {
    let read = |key: &KeyFile| {
        let file = folder.join(&key.file);
        let secret = std::fs::read(&file);
        let mut secret = secret.map_err(|e| format!("key {:?}: {}: {e}", key.kid, file.display()))?;
        while secret.last().is_some_and(|b| b"\r\n".contains(b)) {
            secret.pop();
        }
        Ok((key.kid.clone(), secret))
    };
    keys.iter().map(read).collect()
}

impl Config {
    /// The rings of entries and of passes, and the sessions revoked; a fault comes with its path.
    pub fn key_rings(&self) -> Result<(KeyRing, KeyRing, Vec<String>), (&'static str, String)> {
        let ring = |path, secrets: &Secrets| KeyRing::new(secrets).map_err(|e| (path, e.to_string()));
        if let Some(file) = &self.keys {
            let (keys, entry, pass) = Keys::read(file).map_err(|e| ("keys", e.to_string()))?;
            return Ok((ring("keys", &entry)?, ring("keys", &pass)?, keys.revoked));
        }
        let of = |path, keys: &[KeyFile]| {
            let secrets = secrets(Path::new(""), keys).map_err(|e| (path, e))?;
            ring(path, &secrets)
        };
        Ok((of("entry_keys", &self.entry_keys)?, of("pass_keys", &self.pass_keys)?, Vec::new()))
    }
}
