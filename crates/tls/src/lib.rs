//! Loads a front's certificates and keys from PEM files (RFC 7468), one folder per side.
//!
//! Towards players ([`load_player_config`]): `chain.pem` (the front's certificate, then its intermediate certificates),
//! `key.pem`, and `authority.pem`, to which the chain must lead. If there is a `viewers.pem`, players must present a
//! certificate whose chain leads to it.
//!
//! Towards media servers ([`load_server_config`]): `authority.pem`, to which their certificates must lead; `chain.pem`
//! and `key.pem` if they require a certificate of the front.
//!
//! A folder is read and checked as a whole before any of it is used: every file can be parsed, no certificate of an
//! authority has expired (whether it is valid already is not checked), the key matches the front's certificate, and the
//! front's chain is valid now and leads to the authority (RFC 5280, section 6.1). Configurations loaded before are not
//! affected, so a caller that gets a [`CertificateError`] continues with what it has. No error,
//! and no `Debug` output of this package's types, contains any part of a key.
//!
//! The front (`pulleystair-edge`) calls this at start, when its configuration is checked, and whenever a file of a
//! folder was replaced. Times are s since 1970.

use rustls::crypto::{CryptoProvider, ring};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, TrustAnchor, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::sign::CertifiedKey;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use webpki::{EndEntityCert, KeyUsage};

/// Size of the largest file that is read, bytes.
pub const MAX_BYTES: u64 = 256 << 10;
/// Number of certificates that a file may contain.
pub const MAX_CERTIFICATES: usize = 64;

/// The files of a folder towards players; all but `viewers.pem` must exist. Callers that watch the folder for changes
/// rely on the order: while the first file is missing, nothing is read again.
pub const PLAYER_FILES: [&str; 4] = ["chain.pem", "key.pem", "authority.pem", "viewers.pem"];
/// The files of a folder towards media servers; the first one must exist, the others both or neither.
pub const SERVER_FILES: [&str; 3] = ["authority.pem", "chain.pem", "key.pem"];

/// Why a file was refused.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {cause}", file.display())]
pub struct CertificateError {
    pub file: PathBuf,
    pub cause: String,
}

fn certificate_error(file: &Path, cause: impl fmt::Display) -> CertificateError {
    CertificateError { file: file.into(), cause: cause.to_string() }
}

/// What was loaded from a folder: the TLS configuration of its connections, and when its certificates expire.
#[derive(Clone)]
pub struct Loaded<T> {
    pub config: Arc<T>,
    /// Earliest expiry of the presented certificates, s since 1970; none if no certificate is presented.
    pub expires: Option<u64>,
    /// Serial number of the presented certificate, in hex, by which operators tell sets of certificates apart.
    pub serial: String,
}

impl<T> fmt::Debug for Loaded<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Loaded").field("expires", &self.expires).field("serial", &self.serial).finish()
    }
}

fn read_file(file: &Path) -> Result<Vec<u8>, CertificateError> {
    let size = std::fs::metadata(file).map_err(|e| certificate_error(file, e))?.len();
    if size > MAX_BYTES {
        return Err(certificate_error(file, format!("{size} bytes; {MAX_BYTES} at most")));
    }
    std::fs::read(file).map_err(|e| certificate_error(file, e))
}

fn load_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let pem = read_file(file)?;
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&pem).collect();
    let parsed = parsed.map_err(|e| certificate_error(file, format!("invalid PEM: {e}")))?;
    match parsed.len() {
        0 => Err(certificate_error(file, "contains no certificate")),
        count if count > MAX_CERTIFICATES => {
            Err(certificate_error(file, format!("{count} certificates; {MAX_CERTIFICATES} at most")))
        }
        _ => Ok(parsed),
    }
}

/// The earliest expiry of these certificates, s since 1970, and the serial number, in hex without leading zeros, of the
/// first certificate of the file.
fn expiry_and_serial(file: &Path, chain: &[CertificateDer]) -> Result<(u64, String), CertificateError> {
    let (mut expires, mut serial) = (u64::MAX, String::new());
    for (index, der) in chain.iter().enumerate() {
        let parse_error = |e: &dyn fmt::Display| {
            certificate_error(file, format!("certificate {} can't be parsed: {e}", index + 1))
        };
        let (_, certificate) = x509_parser::parse_x509_certificate(der).map_err(|e| parse_error(&e))?;
        expires = expires.min(certificate.validity().not_after.timestamp().max(0) as u64);
        if index == 0 {
            serial = certificate.raw_serial().iter().map(|b| format!("{b:02x}")).collect();
            serial = serial.trim_start_matches('0').into();
        }
    }
    Ok((expires, serial))
}

/// Loads the certificates of an authority, also as roots; fails if the expiry of one of them is not after `now`.
fn load_authority(
    file: &Path,
    now: u64,
) -> Result<(Vec<CertificateDer<'static>>, Arc<RootCertStore>), CertificateError> {
    let certificates = load_certificates(file)?;
    let (expires, _) = expiry_and_serial(file, &certificates)?;
    if expires <= now {
        return Err(certificate_error(file, format!("expired {} s ago", now - expires)));
    }
    let mut roots = RootCertStore::empty();
    for certificate in &certificates {
        roots.add(certificate.clone()).map_err(|e| certificate_error(file, e))?;
    }
    Ok((certificates, Arc::new(roots)))
}

/// Loads `chain.pem` and `key.pem` of a folder. Checks that the key fits the first certificate, and that the chain is
/// valid at `now` for `usage` and leads to the authority, which is given by its certificates and, for error messages,
/// its file. Returns the chain with its key, its earliest expiry (s since 1970), and its serial number.
fn load_own_chain(
    folder: &Path,
    authority: &(Vec<CertificateDer>, PathBuf),
    usage: KeyUsage,
    now: u64,
) -> Result<(Arc<CertifiedKey>, u64, String), CertificateError> {
    let (chain_file, key_file) = (folder.join("chain.pem"), folder.join("key.pem"));
    let chain = load_certificates(&chain_file)?;
    let key = PrivateKeyDer::from_pem_slice(&read_file(&key_file)?);
    // The parser's error is not passed on, because it might quote the key.
    let key = key.map_err(|_| certificate_error(&key_file, "contains no PEM private key"))?;
    let key = ring::sign::any_supported_type(&key)
        .map_err(|_| certificate_error(&key_file, "key of an unsupported type"))?;
    let certified_key = CertifiedKey::new(chain.clone(), key);
    certified_key
        .keys_match()
        .map_err(|_| certificate_error(&key_file, "key does not fit the first certificate of chain.pem"))?;
    let (expires, serial) = expiry_and_serial(&chain_file, &chain)?;
    let anchors: Result<Vec<TrustAnchor>, _> =
        authority.0.iter().map(webpki::anchor_from_trusted_cert).collect();
    let anchors = anchors.map_err(|e| certificate_error(&authority.1, e))?;
    let leaf = EndEntityCert::try_from(&chain[0]).map_err(|e| certificate_error(&chain_file, e))?;
    leaf.verify_for_usage(
        webpki::ALL_VERIFICATION_ALGS,
        &anchors,
        &chain[1..],
        UnixTime::since_unix_epoch(Duration::from_secs(now)),
        usage,
        None,
        None,
    )
    .map_err(|e| match e {
        webpki::Error::CertExpired { .. } => {
            certificate_error(&chain_file, format!("expired {} s ago", now.saturating_sub(expires)))
        }
        webpki::Error::CertNotValidYet { .. } => certificate_error(&chain_file, "not valid yet"),
        webpki::Error::UnknownIssuer | webpki::Error::InvalidSignatureForPublicKey => {
            certificate_error(&chain_file, format!("chain does not lead to {}", authority.1.display()))
        }
        other => certificate_error(&chain_file, other),
    })?;
    Ok((Arc::new(certified_key), expires, serial))
}

/// Certificate resolver that presents the same certificate to every peer.
#[derive(Debug)]
struct FixedCertificate(Arc<CertifiedKey>);

impl rustls::server::ResolvesServerCert for FixedCertificate {
    fn resolve(&self, _: rustls::server::ClientHello) -> Option<Arc<CertifiedKey>> {
        Some(self.0.clone())
    }
}

impl rustls::client::ResolvesClientCert for FixedCertificate {
    fn resolve(&self, _: &[&[u8]], _: &[rustls::SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.0.clone())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// Loads the TLS configuration towards players; checks validity at `now`, s since 1970.
pub fn load_player_config(folder: &Path, now: u64) -> Result<Loaded<ServerConfig>, CertificateError> {
    let authority_file = folder.join("authority.pem");
    let (roots, _) = load_authority(&authority_file, now)?;
    let (certified_key, expires, serial) =
        load_own_chain(folder, &(roots, authority_file), KeyUsage::server_auth(), now)?;
    let config = ServerConfig::builder_with_provider(crypto_provider());
    let config = config.with_safe_default_protocol_versions().map_err(|e| certificate_error(folder, e))?;
    let viewers_file = folder.join("viewers.pem");
    let config = if viewers_file.exists() {
        let (_, roots) = load_authority(&viewers_file, now)?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, crypto_provider());
        config.with_client_cert_verifier(verifier.build().map_err(|e| certificate_error(&viewers_file, e))?)
    } else {
        config.with_no_client_auth()
    };
    let mut config = config.with_cert_resolver(Arc::new(FixedCertificate(certified_key)));
    // Players reconnect often; a session ticket spares both sides the signature (RFC 8446, section 2.2).
    config.ticketer = ring::Ticketer::new().map_err(|e| certificate_error(folder, e))?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(Loaded { config: Arc::new(config), expires: Some(expires), serial })
}

/// Loads the TLS configuration towards media servers: their authority, and the certificate presented to them, if any.
/// Checks validity at `now`, s since 1970.
pub fn load_server_config(folder: &Path, now: u64) -> Result<Loaded<ClientConfig>, CertificateError> {
    let authority_file = folder.join("authority.pem");
    let (authority, roots) = load_authority(&authority_file, now)?;
    let config = ClientConfig::builder_with_provider(crypto_provider());
    let config = config.with_safe_default_protocol_versions().map_err(|e| certificate_error(folder, e))?;
    let config = config.with_root_certificates(roots);
    let presented_files = [folder.join("chain.pem"), folder.join("key.pem")];
    if presented_files.iter().all(|file| !file.exists()) {
        let config = config.with_no_client_auth();
        return Ok(Loaded { config: Arc::new(config), expires: None, serial: String::new() });
    }
    let (certified_key, expires, serial) =
        load_own_chain(folder, &(authority, authority_file), KeyUsage::client_auth(), now)?;
    let config = config.with_client_cert_resolver(Arc::new(FixedCertificate(certified_key)));
    Ok(Loaded { config: Arc::new(config), expires: Some(expires), serial })
}
