//! JSON Web Tokens (RFC 7519), signed with HMAC-SHA256 (RFC 7518, section 3.2).
//!
//! An entry token is issued by the portal and asks for one play. A session token is issued by the
//! front and gives access to the segments of that play. Each token names its key by `kid` (RFC 7515, section 4.1.4). A
//! key ring holds the live keys, of which the newest signs and all verify, and retired keys, which verify until their
//! overlap ends. Times are in s since 1970.

use jsonwebtoken::{Algorithm, DecodingKey, EncodingKey, Header, Validation};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::hash::{Hash, Hasher};

/// Size limit of a token, bytes.
pub const MAX_BYTES: usize = 1024;
/// Minimum size of a key, bytes: the size of the hash's output (RFC 7518, section 3.2).
pub const MIN_KEY_BYTES: usize = 32;
/// Maximum number of live keys: the one in use, its successor and its predecessor.
pub const MAX_KEYS: usize = 3;
/// Maximum number of retired keys that are still within their overlap.
pub const MAX_RETIRED: usize = 32;

/// Claims of an entry token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryClaims {
    /// Identifier of the session: requests with the same one belong to the same play.
    pub jti: String,
    /// Identifier of the viewer.
    pub sub: String,
    pub product: String,
    pub title: String,
    /// Highest rung that the viewer can use.
    pub top: usize,
    /// Expiry time, s since 1970.
    pub exp: u64,
}

/// Claims of a session token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionClaims {
    /// Identifier of the session: the `jti` of its entry token.
    pub sid: String,
    pub product: String,
    pub title: String,
    /// Expiry time, s since 1970.
    pub exp: u64,
}

/// Why a token is rejected. The texts are sent to viewers.
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
    /// HTTP status of the response to a request with such a token.
    pub fn status(self) -> u16 {
        match self {
            TokenError::Expired => 410,
            TokenError::WrongTitleOrProduct => 403,
            _ => 401,
        }
    }
}

/// Why a set of keys is rejected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    #[error("key {0:?} has {1} bytes, fewer than {MIN_KEY_BYTES}")]
    TooShort(String, usize),
    #[error("key {0:?} is listed twice")]
    DuplicateId(String),
    #[error("{0} keys; 1 to {MAX_KEYS} are allowed")]
    WrongCount(usize),
    #[error("key {0:?} has another secret than before; a new secret needs a new id")]
    SecretChanged(String),
    #[error("{0} retired keys would still be in their overlap; at most {MAX_RETIRED} are allowed")]
    TooManyRetired(usize),
}

/// A key by its id.
struct Key {
    kid: String,
    /// Hash by which a changed secret is detected; never leaves this module.
    fingerprint: u64,
    signing_key: EncodingKey,
    verifying_key: DecodingKey,
}

/// The live keys, the signing one first, and the retired keys, which verify until their overlap ends.
pub struct KeyRing {
    live: Vec<Key>,
    /// Each retired key and the end of its overlap, s since 1970.
    retired: Vec<(Key, u64)>,
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_list().entries(self.live.iter().map(|k| &k.kid)).finish()
    }
}

/// Hash of a secret, to compare secrets by.
fn fingerprint(secret: &[u8]) -> u64 {
    let mut hash = std::hash::DefaultHasher::new();
    secret.hash(&mut hash);
    hash.finish()
}

impl KeyRing {
    /// A ring of these live keys, each an id and a secret; the first one signs.
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

    /// Checks whether [`KeyRing::replace`] would accept these keys at `now`, s since 1970.
    pub fn check_replace(&self, keys: &[(String, Vec<u8>)], now: u64) -> Result<(), KeyError> {
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

    /// Replaces the live keys at `now`, s since 1970. Keys that are no longer listed verify for another `overlap_s`; a
    /// retired key that is listed again becomes live. On an error, nothing changes.
    pub fn replace(&mut self, keys: &[(String, Vec<u8>)], now: u64, overlap_s: u64) -> Result<(), KeyError> {
        self.check_replace(keys, now)?;
        let new_ring = KeyRing::new(keys)?;
        let is_kept = |key: &Key| new_ring.live.iter().any(|n| n.kid == key.kid);
        self.retired.retain(|(k, until)| *until > now && !is_kept(k));
        let old_keys = std::mem::take(&mut self.live);
        self.retired.extend(old_keys.into_iter().filter(|k| !is_kept(k)).map(|k| (k, now + overlap_s)));
        self.live = new_ring.live;
        Ok(())
    }

    /// The live or retired key with this id.
    fn find_key(&self, kid: &str, now: u64) -> Option<&Key> {
        let retired = self.retired.iter().filter(|(_, until)| *until > now).map(|(k, _)| k);
        self.live.iter().chain(retired).find(|k| k.kid == kid)
    }

    /// A token with these claims, signed with the first live key.
    pub fn sign(&self, claims: &impl Serialize) -> String {
        let key = &self.live[0];
        let header = Header { kid: Some(key.kid.clone()), ..Header::new(Algorithm::HS256) };
        jsonwebtoken::encode(&header, claims, &key.signing_key)
            .expect("claims serialize to JSON, and HMAC accepts any key")
    }

    /// Checks size, algorithm, key and signature of a token, and returns its claims.
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
        // The callers compare `exp` with the time that they are given.
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

    /// Verifies an entry token at `now`, s since 1970, for the requested product and title.
    pub fn verify_entry(
        &self,
        token: &str,
        now: u64,
        product: &str,
        title: &str,
    ) -> Result<EntryClaims, TokenError> {
        let claims: EntryClaims = self.verify_signature(token, now)?;
        if claims.product != product || claims.title != title {
            return Err(TokenError::WrongTitleOrProduct);
        }
        if claims.jti.is_empty() || claims.jti.len() > 64 {
            return Err(TokenError::Malformed);
        }
        if claims.exp <= now { Err(TokenError::Expired) } else { Ok(claims) }
    }

    /// Verifies a session token at `now`, s since 1970.
    pub fn verify_session(&self, token: &str, now: u64) -> Result<SessionClaims, TokenError> {
        let claims = self.verify_session_signature(token, now)?;
        if claims.exp <= now { Err(TokenError::Expired) } else { Ok(claims) }
    }

    /// Verifies a session token but not its expiry, for callers that extend a session's lifetime after its token was signed.
    pub fn verify_session_signature(&self, token: &str, now: u64) -> Result<SessionClaims, TokenError> {
        self.verify_signature(token, now)
    }
}
