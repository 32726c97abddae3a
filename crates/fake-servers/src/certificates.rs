//! Certificates of the laboratory: an authority of its own, made anew for each run, and what it vouches for.

use crate::files::replace;
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa, KeyPair,
};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio_rustls::{TlsAcceptor, TlsConnector};

pub struct CertificateAuthority {
    root: CertifiedIssuer<'static, KeyPair>,
    /// One that the root vouches for, and that vouches for all others.
    between: CertifiedIssuer<'static, KeyPair>,
}

/// A certificate with those that vouch for it, and its key, both as PEM.
#[derive(Clone)]
pub struct Certificate {
    pub chain: String,
    pub key: String,
}

fn params(name: &str, from: SystemTime, to: SystemTime) -> CertificateParams {
    let names = vec![name.to_string(), "127.0.0.1".to_string()];
    let mut it = CertificateParams::new(names).expect("names of the laboratory are plain");
    (it.not_before, it.not_after) = (from.into(), to.into());
    it.distinguished_name.push(DnType::CommonName, name);
    it
}

fn issuer(name: &str) -> (CertificateParams, KeyPair) {
    let now = SystemTime::now();
    let day = Duration::from_secs(86_400);
    let mut it = params(name, now - day, now + day);
    it.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    (it, KeyPair::generate().expect("the system has random numbers"))
}

fn other(e: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::other(e)
}

impl Default for CertificateAuthority {
    fn default() -> CertificateAuthority {
        let ((root, root_key), (between, key)) = (issuer("laboratory"), issuer("laboratory-between"));
        let root = CertifiedIssuer::self_signed(root, root_key).expect("a key signs");
        let between = CertifiedIssuer::signed_by(between, key, &root).expect("a key signs");
        CertificateAuthority { root, between }
    }
}

impl CertificateAuthority {
    pub fn pem(&self) -> String {
        self.root.pem()
    }

    /// A certificate for one name, good from an hour ago until then.
    pub fn issue(&self, name: &str, until: SystemTime) -> Certificate {
        let mut it = params(name, SystemTime::now() - Duration::from_secs(3600), until);
        it.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().expect("the system has random numbers");
        let leaf = it.signed_by(&key, &self.between).expect("a key signs");
        Certificate { chain: leaf.pem() + &self.between.pem(), key: key.serialize_pem() }
    }

    /// One that runs out long after any day of the laboratory, and before its authority.
    pub fn issue_long_lived(&self, name: &str) -> Certificate {
        self.issue(name, SystemTime::now() + Duration::from_secs(86_000))
    }

    fn roots(&self) -> Arc<RootCertStore> {
        let mut roots = RootCertStore::empty();
        roots.add(self.root.der().clone()).expect("a root is a root");
        Arc::new(roots)
    }

    /// The server's end for such a paper; with `callers`, whoever calls must show one that it vouches for.
    pub fn acceptor(
        &self,
        paper: &Certificate,
        callers: Option<&CertificateAuthority>,
    ) -> io::Result<TlsAcceptor> {
        let terms = ServerConfig::builder();
        let terms = match callers {
            Some(callers) => {
                let verifier = WebPkiClientVerifier::builder(callers.roots()).build().map_err(other)?;
                terms.with_client_cert_verifier(verifier)
            }
            None => terms.with_no_client_auth(),
        };
        let (chain, key) = paper.parts()?;
        Ok(TlsAcceptor::from(Arc::new(terms.with_single_cert(chain, key).map_err(other)?)))
    }

    /// The caller's end: trusts this authority, and shows a paper where it has one.
    pub fn connector(&self, paper: Option<&Certificate>) -> io::Result<TlsConnector> {
        let terms = ClientConfig::builder().with_root_certificates(self.roots());
        let terms = match paper {
            Some(paper) => {
                let (chain, key) = paper.parts()?;
                terms.with_client_auth_cert(chain, key).map_err(other)?
            }
            None => terms.with_no_client_auth(),
        };
        Ok(TlsConnector::from(Arc::new(terms)))
    }
}

impl Certificate {
    fn parts(&self) -> io::Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)> {
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(self.chain.as_bytes()).collect();
        Ok((chain.map_err(other)?, PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(other)?))
    }

    /// Puts it into a folder as operators would: each file whole, one after the other.
    pub fn write_files(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        replace(&folder.join("chain.pem"), &self.chain)?;
        replace(&folder.join("key.pem"), &self.key)
    }
}
