//! Test certificates: a certificate authority that is generated for each run, and the certificates that it issues. Used
//! by the fake servers, the lab and the TLS tests.

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

/// A root certificate and an intermediate certificate, both valid until a day from now.
pub struct CertificateAuthority {
    root: CertifiedIssuer<'static, KeyPair>,
    /// Signed by the root; signs all leaf certificates.
    intermediate: CertifiedIssuer<'static, KeyPair>,
}

/// A certificate with its chain, and its private key, both as PEM.
#[derive(Clone)]
pub struct Certificate {
    pub chain: String,
    pub key: String,
}

/// Parameters of a certificate for `name` and 127.0.0.1.
fn certificate_params(name: &str, not_before: SystemTime, not_after: SystemTime) -> CertificateParams {
    let names = vec![name.to_string(), "127.0.0.1".to_string()];
    let mut params = CertificateParams::new(names).expect("names of test certificates are valid DNS names");
    (params.not_before, params.not_after) = (not_before.into(), not_after.into());
    params.distinguished_name.push(DnType::CommonName, name);
    params
}

/// Parameters and a new key of a certificate that may sign others, valid from a day ago until a day from now.
fn issuer_params(name: &str) -> (CertificateParams, KeyPair) {
    let now = SystemTime::now();
    let day = Duration::from_secs(86_400);
    let mut params = certificate_params(name, now - day, now + day);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    (params, KeyPair::generate().expect("a key can be generated"))
}

fn to_io_error(error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::other(error)
}

impl Default for CertificateAuthority {
    fn default() -> CertificateAuthority {
        let ((root, root_key), (intermediate, intermediate_key)) =
            (issuer_params("laboratory"), issuer_params("laboratory-between"));
        let root = CertifiedIssuer::self_signed(root, root_key).expect("a certificate can be signed");
        let intermediate = CertifiedIssuer::signed_by(intermediate, intermediate_key, &root)
            .expect("a certificate can be signed");
        CertificateAuthority { root, intermediate }
    }
}

impl CertificateAuthority {
    /// The root certificate as PEM.
    pub fn pem(&self) -> String {
        self.root.pem()
    }

    /// Issues a certificate for one name that is valid from an hour ago until `not_after`, for servers and clients.
    pub fn issue(&self, name: &str, not_after: SystemTime) -> Certificate {
        let mut params = certificate_params(name, SystemTime::now() - Duration::from_secs(3600), not_after);
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let key = KeyPair::generate().expect("a key can be generated");
        let leaf = params.signed_by(&key, &self.intermediate).expect("a certificate can be signed");
        Certificate { chain: leaf.pem() + &self.intermediate.pem(), key: key.serialize_pem() }
    }

    /// Issues a certificate that expires long after any run has ended, and before its authority does.
    pub fn issue_long_lived(&self, name: &str) -> Certificate {
        self.issue(name, SystemTime::now() + Duration::from_secs(86_000))
    }

    /// A trust store with the root certificate alone.
    fn root_store(&self) -> Arc<RootCertStore> {
        let mut roots = RootCertStore::empty();
        roots.add(self.root.der().clone()).expect("the root certificate is valid");
        Arc::new(roots)
    }

    /// The TLS acceptor of a server that presents `certificate`, whichever authority issued that. With
    /// `client_authority`, clients must present a certificate that `client_authority` issued.
    pub fn acceptor(
        &self,
        certificate: &Certificate,
        client_authority: Option<&CertificateAuthority>,
    ) -> io::Result<TlsAcceptor> {
        let config = ServerConfig::builder();
        let config = match client_authority {
            Some(client_authority) => {
                let verifier = WebPkiClientVerifier::builder(client_authority.root_store())
                    .build()
                    .map_err(to_io_error)?;
                config.with_client_cert_verifier(verifier)
            }
            None => config.with_no_client_auth(),
        };
        let (chain, key) = certificate.parse_pem()?;
        Ok(TlsAcceptor::from(Arc::new(config.with_single_cert(chain, key).map_err(to_io_error)?)))
    }

    /// The TLS connector of a client that trusts this authority and presents `certificate`, if any.
    pub fn connector(&self, certificate: Option<&Certificate>) -> io::Result<TlsConnector> {
        let config = ClientConfig::builder().with_root_certificates(self.root_store());
        let config = match certificate {
            Some(certificate) => {
                let (chain, key) = certificate.parse_pem()?;
                config.with_client_auth_cert(chain, key).map_err(to_io_error)?
            }
            None => config.with_no_client_auth(),
        };
        Ok(TlsConnector::from(Arc::new(config)))
    }
}

impl Certificate {
    /// Parses the chain and the key.
    fn parse_pem(&self) -> io::Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>)> {
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(self.chain.as_bytes()).collect();
        Ok((
            chain.map_err(to_io_error)?,
            PrivateKeyDer::from_pem_slice(self.key.as_bytes()).map_err(to_io_error)?,
        ))
    }

    /// Writes `chain.pem` and `key.pem` to a folder as operators do: one file after the other, each replaced
    /// atomically.
    pub fn write_files(&self, folder: &Path) -> io::Result<()> {
        std::fs::create_dir_all(folder)?;
        replace(&folder.join("chain.pem"), &self.chain)?;
        replace(&folder.join("key.pem"), &self.key)
    }
}
