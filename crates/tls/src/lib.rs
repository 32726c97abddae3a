//! Certificates and keys of a front, each side's in a folder of its own, as PEM files (RFC 7468).
//!
//! Towards players ([`load_player_config`]): `chain.pem` (the front's certificate, then those that vouch for it), `key.pem`, and
//! `authority.pem`, to which the chain must lead. Where there is a `viewers.pem`, players must show a certificate
//! that leads to it.
//!
//! Towards media servers ([`load_server_config`]): `authority.pem`, to which their certificates must lead; `chain.pem` and
//! `key.pem` where they ask for the front's.
//!
//! A folder is read and checked whole before anything of it is used: that each file reads, the key fits the
//! certificate, nothing has expired or is not valid yet, and each chain is complete (RFC 5280, section 6.1). What
//! was made before stays as it is, so a caller that is told of a [`CertificateError`] goes on with what it has.
//! No fault, and no `Debug` of what is here, holds any of a key.

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

/// The largest file that is read, bytes, and the most certificates in one.
pub const MAX_BYTES: u64 = 256 << 10;
pub const MAX_CERTIFICATES: usize = 64;

/// The files of a folder, the one that must be there first.
pub const PLAYER_FILES: [&str; 4] = ["chain.pem", "key.pem", "authority.pem", "viewers.pem"];
pub const SERVER_FILES: [&str; 3] = ["authority.pem", "chain.pem", "key.pem"];

/// What is wrong with which file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}: {cause}", file.display())]
pub struct CertificateError {
    pub file: PathBuf,
    pub cause: String,
}

fn fault(file: &Path, cause: impl fmt::Display) -> CertificateError {
    CertificateError { file: file.into(), cause: cause.to_string() }
}

/// What was read from a folder: the terms of its connections, and until when they hold, s since 1970.
#[derive(Clone)]
pub struct Loaded<T> {
    pub config: Arc<T>,
    /// When the first of the certificates runs out that are shown; none where none is.
    pub expires: Option<u64>,
    /// The serial number of the certificate that is shown, by which people tell sets apart.
    pub serial: String,
}

impl<T> fmt::Debug for Loaded<T> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.debug_struct("Loaded").field("expires", &self.expires).field("serial", &self.serial).finish()
    }
}

fn bytes(file: &Path) -> Result<Vec<u8>, CertificateError> {
    let size = std::fs::metadata(file).map_err(|e| fault(file, e))?.len();
    if size > MAX_BYTES {
        return Err(fault(file, format!("{size} bytes; {MAX_BYTES} at most")));
    }
    std::fs::read(file).map_err(|e| fault(file, e))
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, CertificateError> {
    let text = bytes(file)?;
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let read = read.map_err(|e| fault(file, format!("not read as PEM: {e}")))?;
    match read.len() {
        0 => Err(fault(file, "holds no certificate")),
        n if n > MAX_CERTIFICATES => {
            Err(fault(file, format!("{n} certificates; {MAX_CERTIFICATES} at most")))
        }
        _ => Ok(read),
    }
}

/// When the first of them runs out, s since 1970, and the serial number of the first.
fn dates(file: &Path, chain: &[CertificateDer]) -> Result<(u64, String), CertificateError> {
    let (mut expires, mut serial) = (u64::MAX, String::new());
    for (at, der) in chain.iter().enumerate() {
        let of = |e: &dyn fmt::Display| fault(file, format!("certificate {} not read: {e}", at + 1));
        let (_, it) = x509_parser::parse_x509_certificate(der).map_err(|e| of(&e))?;
        expires = expires.min(it.validity().not_after.timestamp().max(0) as u64);
        if at == 0 {
            serial = it.raw_serial().iter().map(|b| format!("{b:02x}")).collect();
            serial = serial.trim_start_matches('0').into();
        }
    }
    Ok((expires, serial))
}

/// The certificates of an authority, none of them expired.
fn authority(
    file: &Path,
    now: u64,
) -> Result<(Vec<CertificateDer<'static>>, Arc<RootCertStore>), CertificateError> {
    let all = certificates(file)?;
    let (expires, _) = dates(file, &all)?;
    if expires <= now {
        return Err(fault(file, format!("expired {} s ago", now - expires)));
    }
    let mut roots = RootCertStore::empty();
    for one in &all {
        roots.add(one.clone()).map_err(|e| fault(file, e))?;
    }
    Ok((all, Arc::new(roots)))
}

/// A chain and its key, checked against each other and against the authority that the chain must lead to.
fn own(
    folder: &Path,
    authority: &(Vec<CertificateDer>, PathBuf),
    usage: KeyUsage,
    now: u64,
) -> Result<(Arc<CertifiedKey>, u64, String), CertificateError> {
    let (chain_file, key_file) = (folder.join("chain.pem"), folder.join("key.pem"));
    let chain = certificates(&chain_file)?;
    let key = PrivateKeyDer::from_pem_slice(&bytes(&key_file)?);
    // What a parser says of a key is not passed on: it might quote it.
    let key = key.map_err(|_| fault(&key_file, "holds no private key in PEM"))?;
    let key = ring::sign::any_supported_type(&key).map_err(|_| fault(&key_file, "key of no known kind"))?;
    let own = CertifiedKey::new(chain.clone(), key);
    own.keys_match().map_err(|_| fault(&key_file, "key does not fit the first certificate of chain.pem"))?;
    let (expires, serial) = dates(&chain_file, &chain)?;
    let anchors: Result<Vec<TrustAnchor>, _> =
        authority.0.iter().map(webpki::anchor_from_trusted_cert).collect();
    let anchors = anchors.map_err(|e| fault(&authority.1, e))?;
    let leaf = EndEntityCert::try_from(&chain[0]).map_err(|e| fault(&chain_file, e))?;
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
            fault(&chain_file, format!("expired {} s ago", now.saturating_sub(expires)))
        }
        webpki::Error::CertNotValidYet { .. } => fault(&chain_file, "not valid yet"),
        webpki::Error::UnknownIssuer | webpki::Error::InvalidSignatureForPublicKey => {
            fault(&chain_file, format!("chain does not lead to {}", authority.1.display()))
        }
        other => fault(&chain_file, other),
    })?;
    Ok((Arc::new(own), expires, serial))
}

/// Shows the same certificate to whoever asks.
#[derive(Debug)]
struct Shows(Arc<CertifiedKey>);

impl rustls::server::ResolvesServerCert for Shows {
    fn resolve(&self, _: rustls::server::ClientHello) -> Option<Arc<CertifiedKey>> {
        Some(self.0.clone())
    }
}

impl rustls::client::ResolvesClientCert for Shows {
    fn resolve(&self, _: &[&[u8]], _: &[rustls::SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        Some(self.0.clone())
    }

    fn has_certs(&self) -> bool {
        true
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(ring::default_provider())
}

/// Reads what is shown to players, as of `now`, s since 1970.
pub fn load_player_config(folder: &Path, now: u64) -> Result<Loaded<ServerConfig>, CertificateError> {
    let file = folder.join("authority.pem");
    let (roots, _) = authority(&file, now)?;
    let (own, expires, serial) = own(folder, &(roots, file), KeyUsage::server_auth(), now)?;
    let terms = ServerConfig::builder_with_provider(provider());
    let terms = terms.with_safe_default_protocol_versions().map_err(|e| fault(folder, e))?;
    let viewers = folder.join("viewers.pem");
    let terms = if viewers.exists() {
        let (_, roots) = authority(&viewers, now)?;
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider());
        terms.with_client_cert_verifier(verifier.build().map_err(|e| fault(&viewers, e))?)
    } else {
        terms.with_no_client_auth()
    };
    let mut terms = terms.with_cert_resolver(Arc::new(Shows(own)));
    // Players come again on new connections; a ticket spares them and the front the signature (RFC 8446, 2.2).
    terms.ticketer = ring::Ticketer::new().map_err(|e| fault(folder, e))?;
    terms.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(Loaded { config: Arc::new(terms), expires: Some(expires), serial })
}

/// Reads what media servers are known by, and what they are shown, as of `now`, s since 1970.
pub fn load_server_config(folder: &Path, now: u64) -> Result<Loaded<ClientConfig>, CertificateError> {
    let file = folder.join("authority.pem");
    let (all, roots) = authority(&file, now)?;
    let terms = ClientConfig::builder_with_provider(provider());
    let terms = terms.with_safe_default_protocol_versions().map_err(|e| fault(folder, e))?;
    let terms = terms.with_root_certificates(roots);
    let shown = [folder.join("chain.pem"), folder.join("key.pem")];
    if shown.iter().all(|file| !file.exists()) {
        let terms = terms.with_no_client_auth();
        return Ok(Loaded { config: Arc::new(terms), expires: None, serial: String::new() });
    }
    let (own, expires, serial) = own(folder, &(all, file), KeyUsage::client_auth(), now)?;
    let terms = terms.with_client_cert_resolver(Arc::new(Shows(own)));
    Ok(Loaded { config: Arc::new(terms), expires: Some(expires), serial })
}
