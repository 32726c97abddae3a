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
pub const MIN_KEY_BYTES: usize = 32;
/// Keys that may be live at once: the one in service, the one that comes, the one that goes.
pub const MAX_KEYS: usize = 3;
/// Keys that were taken out and are still read, at most.
pub const MAX_RETIRED: usize = 32;

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
    WrongSignature,
    #[error("token expired")]
    Expired,
    #[error("token is for another title or product")]
    WrongTitleOrProduct,
}

impl TokenError {
    /// The HTTP status that answers it.
    pub fn status(self) -> u16 {
        match self {
            TokenError::Expired => 410,
            TokenError::WrongTitleOrProduct => 403,
            _ => 401,
        }
    }
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("key {0:?} has {1} bytes, fewer than {MIN_KEY_BYTES}")]
    TooShort(String, usize),
    #[error("key {0:?} is there twice")]
    DuplicateId(String),
    #[error("{0} keys; 1 to {MAX_KEYS} are allowed")]
    WrongCount(usize),
    #[error("key {0:?} has another secret than before; a new secret needs a new id")]
    SecretChanged(String),
    #[error("{0} keys taken out are still in their overlap; {MAX_RETIRED} may be")]
    TooManyRetired(usize),
}

struct Key {
    kid: String,
    /// By which a secret is known to be the same; it never leaves this module.
    fingerprint: u64,
    signing_key: EncodingKey,
    verifying_key: DecodingKey,
}

/// The live keys, the newest first, and those that were taken out and are read until their overlap ends.
pub struct KeyRing {
    live: Vec<Key>,
    /// Until when each is read, s since 1970.
    retired: Vec<(Key, u64)>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.live.iter().map(|k| &k.kid)).finish()
    }
}

fn fingerprint(secret: &[u8]) -> u64 {
    let mut hash = std::hash::DefaultHasher::new();
    secret.hash(&mut hash);
    hash.finish()
}

impl KeyRing {
    /// Keys by their ids; the first one signs.
    pub fn new(keys: &[(String, Vec<u8>)]) -> Result<KeyRing, KeyError> {
        if keys.is_empty() || keys.len() > MAX_KEYS {
            return Err(KeyError::WrongCount(keys.len()));
        }
        for (i, (kid, secret)) in keys.iter().enumerate() {
            if secret.len() < MIN_KEY_BYTES {
                return Err(KeyError::TooShort(kid.clone(), secret.len()));
            }
            if keys[..i].iter().any(|k| k.0 == *kid) {
                return Err(KeyError::DuplicateId(kid.clone()));
            }
        }
        let new_key = |(kid, secret): &(String, Vec<u8>)| Key {
            kid: kid.clone(),
            fingerprint: fingerprint(secret),
            signing_key: EncodingKey::from_secret(secret),
            verifying_key: DecodingKey::from_secret(secret),
        };
        Ok(KeyRing { live: keys.iter().map(new_key).collect(), retired: Vec::new() })
    }

    /// Whether [`KeyRing::replace`] would take these keys.
    pub fn may_replace(&self, keys: &[(String, Vec<u8>)], now: u64) -> Result<(), KeyError> {
        let new_ring = KeyRing::new(keys)?;
        let mut known_keys = self.live.iter().chain(self.retired.iter().map(|(k, _)| k));
        if let Some(key) = known_keys
            .find(|k| new_ring.live.iter().any(|n| n.kid == k.kid && n.fingerprint != k.fingerprint))
        {
            return Err(KeyError::SecretChanged(key.kid.clone()));
        }
        let is_kept = |key: &Key| new_ring.live.iter().any(|n| n.kid == key.kid);
        let removed_count = self.live.iter().filter(|k| !is_kept(k)).count();
        let retired_count =
            removed_count + self.retired.iter().filter(|(k, until)| *until > now && !is_kept(k)).count();
        if retired_count > MAX_RETIRED { Err(KeyError::TooManyRetired(retired_count)) } else { Ok(()) }
    }

    /// Puts other keys in service at `now`; those taken out are read for `overlap` s more, and one that comes back
    /// is live again. Nothing changes where the new set can't be.
    pub fn replace(&mut self, keys: &[(String, Vec<u8>)], now: u64, overlap: u64) -> Result<(), KeyError> {
        self.may_replace(keys, now)?;
        let new_ring = KeyRing::new(keys)?;
        let is_kept = |key: &Key| new_ring.live.iter().any(|n| n.kid == key.kid);
        self.retired.retain(|(k, until)| *until > now && !is_kept(k));
        let old_keys = std::mem::take(&mut self.live);
        self.retired.extend(old_keys.into_iter().filter(|k| !is_kept(k)).map(|k| (k, now + overlap)));
        self.live = new_ring.live;
        Ok(())
    }

    fn find_key(&self, kid: &str, now: u64) -> Option<&Key> {
        let retired = self.retired.iter().filter(|(_, until)| *until > now).map(|(k, _)| k);
        self.live.iter().chain(retired).find(|k| k.kid == kid)
    }

    pub fn sign(&self, claims: &impl Serialize) -> String {
        let key = &self.live[0];
        let header = Header { kid: Some(key.kid.clone()), ..Header::new(Algorithm::HS256) };
        jsonwebtoken::encode(&header, claims, &key.signing_key).expect("plain claims are signed by any key")
    }

    fn verify_signature<T: for<'a> Deserialize<'a>>(&self, token: &str, now: u64) -> Result<T, TokenError> {
        if token.is_empty() {
            return Err(TokenError::Missing);
        }
        if token.len() > MAX_BYTES {
            return Err(TokenError::TooLong);
        }
        let header = jsonwebtoken::decode_header(token).map_err(|_| TokenError::Malformed)?;
        if header.alg != Algorithm::HS256 {
            return Err(TokenError::WrongSignature);
        }
        let key = header.kid.as_deref().and_then(|kid| self.find_key(kid, now));
        let key = key.ok_or(TokenError::UnknownKey)?;
        let mut validation = Validation::new(Algorithm::HS256);
        // Times are compared here, by the caller's clock.
        validation.validate_exp = false;
        validation.required_spec_claims.clear();
        let decoded = jsonwebtoken::decode::<T>(token, &key.verifying_key, &validation);
        Ok(decoded
            .map_err(|e| match e.kind() {
                jsonwebtoken::errors::ErrorKind::InvalidSignature => TokenError::WrongSignature,
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
        let entry: EntryToken = self.verify_signature(token, now)?;
        if entry.product != product || entry.title != title {
            return Err(TokenError::WrongTitleOrProduct);
        }
        if entry.jti.is_empty() || entry.jti.len() > 64 {
            return Err(TokenError::Malformed);
        }
        if entry.exp <= now { Err(TokenError::Expired) } else { Ok(entry) }
    }

    pub fn verify_session(&self, token: &str, now: u64) -> Result<SessionToken, TokenError> {
        let session_token = self.verify_session_signature(token, now)?;
        if session_token.exp <= now { Err(TokenError::Expired) } else { Ok(session_token) }
    }

    /// A pass that is ours, whether or not its time is up: a play that runs may have renewed it.
    pub fn verify_session_signature(&self, token: &str, now: u64) -> Result<SessionToken, TokenError> {
        self.verify_signature(token, now)
    }
}
