//! Tokens as JSON Web Tokens (RFC 7519), signed by HMAC-SHA256 (RFC 7518, section 3.2).
//!
//! An entry token comes from the portal and asks for one play. A session token (a pass) is made by the front
//! and opens that play's segments. Each names its key by `kid` (RFC 7515, section 4.1.4); a ring holds the
//! keys that are live: the newest signs, all of them are read, and those taken out for some time more.

use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::hash::{Hash, Hasher};

/// The longest token that is read, bytes.
pub const MAX_BYTES: usize = 1024;
/// Bytes that a key must have, RFC 7518 section 3.2: no fewer than the hash's output.
pub const KEY_BYTES: usize = 32;
/// Keys that may be live at once: the one in service, the one that comes, the one that goes.
pub const MAX_KEYS: usize = 3;
/// Keys that were taken out and are still read, at most.
pub const MAX_LEAVING: usize = 32;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryToken {
    /// The session: a request with the same one is the same play.
    pub jti: String,
    /// The viewer.
    pub sub: String,
    pub product: String,
    pub title: String,
    /// Highest rung that the viewer can use.
    pub top: usize,
    /// Until when it may be used, s since 1970.
    pub exp: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// The session it was made for.
    pub sid: String,
    pub product: String,
    pub title: String,
    pub exp: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TokenError {
    #[error("token missing")]
    Missing,
    #[error("token over {MAX_BYTES} bytes")]
    TooLong,
    #[error("token malformed")]
    Malformed,
    #[error("token signed by no key known here")]
    UnknownKey,
    #[error("token signature wrong")]
    Forged,
    #[error("token expired")]
    Expired,
    #[error("token is for another title or product")]
    Foreign,
}

impl TokenError {
    /// The HTTP status that answers it.
    pub fn status(self) -> u16 {
        match self {
            TokenError::Expired => 410,
            TokenError::Foreign => 403,
            _ => 401,
        }
    }
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("key {0:?} has {1} bytes, fewer than {KEY_BYTES}")]
    Short(String, usize),
    #[error("key {0:?} is there twice")]
    Twice(String),
    #[error("{0} keys; 1 to {MAX_KEYS} are allowed")]
    Count(usize),
    #[error("key {0:?} has another secret than before; a new secret needs a new id")]
    Changed(String),
    #[error("{0} keys taken out are still in their overlap; {MAX_LEAVING} may be")]
    Leaving(usize),
}

struct Key {
    kid: String,
    /// By which a secret is known to be the same; it never leaves this module.
    print: u64,
    sign: EncodingKey,
    read: DecodingKey,
}

/// The live keys, the newest first, and those that were taken out and are read until their overlap ends.
pub struct KeyRing {
    live: Vec<Key>,
    /// Until when each is read, s since 1970.
    leaving: Vec<(Key, u64)>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.live.iter().map(|k| &k.kid)).finish()
    }
}

fn print(secret: &[u8]) -> u64 {
    let mut hash = std::hash::DefaultHasher::new();
    secret.hash(&mut hash);
    hash.finish()
}

impl KeyRing {
    /// Keys by their ids; the first one signs.
    pub fn new(keys: &[(String, Vec<u8>)]) -> Result<KeyRing, KeyError> {
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeyError::Count(keys.len()));
        }
        for (i, (kid, secret)) in keys.iter().enumerate() {
            if secret.len() < KEY_BYTES {
                return Err(KeyError::Short(kid.clone(), secret.len()));
            }
            if keys[..i].iter().any(|k| k.0 == *kid) {
                return Err(KeyError::Twice(kid.clone()));
            }
        }
        let key = |(kid, secret): &(String, Vec<u8>)| Key {
            kid: kid.clone(),
            print: print(secret),
            sign: EncodingKey::from_secret(secret),
            read: DecodingKey::from_secret(secret),
        };
        Ok(KeyRing { live: keys.iter().map(key).collect(), leaving: Vec::new() })
    }

    /// Whether [`KeyRing::replace`] would take these keys.
    pub fn may_replace(&self, keys: &[(String, Vec<u8>)], now: u64) -> Result<(), KeyError> {
        let new = KeyRing::new(keys)?;
        let mut known = self.live.iter().chain(self.leaving.iter().map(|(k, _)| k));
        if let Some(key) = known.find(|k| new.live.iter().any(|n| n.kid == k.kid && n.print != k.print)) {
            return Err(KeyError::Changed(key.kid.clone()));
        }
        let stays = |key: &Key| new.live.iter().any(|n| n.kid == key.kid);
        let out = self.live.iter().filter(|k| !stays(k)).count();
        let leaving = out + self.leaving.iter().filter(|(k, until)| *until > now && !stays(k)).count();
        if leaving > MAX_LEAVING { Err(KeyError::Leaving(leaving)) } else { Ok(()) }
    }

    /// Puts other keys in service at `now`; those taken out are read for `overlap` s more, and one that comes back
    /// is live again. Nothing changes where the new set can't be.
    pub fn replace(&mut self, keys: &[(String, Vec<u8>)], now: u64, overlap: u64) -> Result<(), KeyError> {
        self.may_replace(keys, now)?;
        let new = KeyRing::new(keys)?;
        let stays = |key: &Key| new.live.iter().any(|n| n.kid == key.kid);
        self.leaving.retain(|(k, until)| *until > now && !stays(k));
        let old = std::mem::take(&mut self.live);
        self.leaving.extend(old.into_iter().filter(|k| !stays(k)).map(|k| (k, now + overlap)));
        self.live = new.live;
        Ok(())
    }

    fn key(&self, kid: &str, now: u64) -> Option<&Key> {
        let leaving = self.leaving.iter().filter(|(_, until)| *until > now).map(|(k, _)| k);
        self.live.iter().chain(leaving).find(|k| k.kid == kid)
    }

    pub fn sign(&self, claims: &impl Serialize) -> String {
        let key = &self.live[0];
        let header = Header { kid: Some(key.kid.clone()), ..Header::new(Algorithm::HS256) };
        jsonwebtoken::encode(&header, claims, &key.sign).expect("plain claims are signed by any key")
    }

    fn read<T: for<'a> Deserialize<'a>>(&self, token: &str, now: u64) -> Result<T, TokenError> {
        if token.is_empty() {
            return Err(TokenError::Missing);
        }
        if token.len() > MAX_BYTES {
            return Err(TokenError::TooLong);
        }
        let header = jsonwebtoken::decode_header(token).map_err(|_| TokenError::Malformed)?;
        if header.alg != Algorithm::HS256 {
            return Err(TokenError::Forged);
        }
        let key = header.kid.as_deref().and_then(|kid| self.key(kid, now));
        let key = key.ok_or(TokenError::UnknownKey)?;
        let mut signature = Validation::new(Algorithm::HS256);
        // Times are compared here, by the caller's clock.
        signature.validate_exp = false;
        signature.required_spec_claims.clear();
        let token = jsonwebtoken::decode::<T>(token, &key.read, &signature);
        Ok(token
            .map_err(|e| match e.kind() {
                jsonwebtoken::errors::ErrorKind::InvalidSignature => TokenError::Forged,
                _ => TokenError::Malformed,
            })?
            .claims)
    }

    /// Reads an entry token at `now`, s since 1970, for the product and title that are asked for.
    pub fn verify_entry(
        &self,
        token: &str,
        now: u64,
        product: &str,
        title: &str,
    ) -> Result<EntryToken, TokenError> {
        let entry: EntryToken = self.read(token, now)?;
        if entry.product != product || entry.title != title {
            return Err(TokenError::Foreign);
        }
        if entry.jti.is_empty() || entry.jti.len() > 64 {
            return Err(TokenError::Malformed);
        }
        if entry.exp <= now { Err(TokenError::Expired) } else { Ok(entry) }
    }

    pub fn verify_session(&self, token: &str, now: u64) -> Result<SessionToken, TokenError> {
        let pass = self.verify_session_signature(token, now)?;
        if pass.exp <= now { Err(TokenError::Expired) } else { Ok(pass) }
    }

    /// A pass that is ours, whether or not its time is up: a play that runs may have renewed it.
    pub fn verify_session_signature(&self, token: &str, now: u64) -> Result<SessionToken, TokenError> {
        self.read(token, now)
    }
}
