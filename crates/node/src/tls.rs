//! TLS certificates of the listeners, reloaded when their files change.

use std::{
    fs,
    path::PathBuf,
    sync::{Arc, PoisonError, RwLock, Weak},
    time::Duration,
};

use eyre::WrapErr;
use rustls::{
    ServerConfig,
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};

/// Interval between checks of the files for changes.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Files of a listener's certificate and key.
#[derive(Clone, Debug)]
pub struct TlsConfig {
    /// PEM file of the certificate and its chain.
    pub certificate: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

/// A certificate that can be reloaded while a listener uses it. Open connections keep the certificate that
/// they were established with.
#[derive(Debug)]
pub struct ReloadingCertificate {
    files: TlsConfig,
    provider: Arc<CryptoProvider>,
    current: RwLock<LoadedCertificate>,
}

#[derive(Clone, Debug)]
struct LoadedCertificate {
    /// Digest of both files, to detect a change.
    digest: blake3::Hash,
    key: Arc<CertifiedKey>,
}

impl ReloadingCertificate {
    /// Loads a certificate and its key.
    ///
    /// # Errors
    /// Fails if a file cannot be read or parsed, or if the key does not match the certificate.
    pub fn load(files: &TlsConfig) -> eyre::Result<Arc<Self>> {
        let provider = Arc::new(ring::default_provider());
        let loaded = load(files, &provider)?;
        Ok(Arc::new(Self { files: files.clone(), provider, current: RwLock::new(loaded) }))
    }

    /// Loads the files again if they changed; returns whether they did.
    ///
    /// # Errors
    /// Fails as [`Self::load`] does; the certificate in use stays.
    pub fn reload(&self) -> eyre::Result<bool> {
        let in_use = self.current.read().unwrap_or_else(PoisonError::into_inner).digest;
        if digest(&self.files)? == in_use {
            return Ok(false);
        }
        let loaded = load(&self.files, &self.provider)?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = loaded;
        Ok(true)
    }

    /// Returns the TLS configuration of a listener that presents this certificate.
    ///
    /// # Errors
    /// Fails if the crypto provider supports none of the default protocol versions.
    pub fn server_config(self: &Arc<Self>) -> eyre::Result<ServerConfig> {
        let builder = ServerConfig::builder_with_provider(Arc::clone(&self.provider));
        let builder = builder.with_safe_default_protocol_versions()?;
        let mut config = builder.with_no_client_auth().with_cert_resolver(Arc::<Self>::clone(self));
        // The connections' limits follow requests of HTTP/1.1.
        config.alpn_protocols = vec![b"http/1.1".to_vec()];
        Ok(config)
    }
}

impl ResolvesServerCert for ReloadingCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner).key))
    }
}

/// Reloads the certificate whenever its files change, until the listener is dropped. While the files are
/// replaced one after the other, they don't match for a moment; the certificate in use stays until they do.
pub async fn reload_on_change(certificate: Weak<ReloadingCertificate>) {
    // Only the first of several failures in a row is logged.
    let mut failed_before = false;
    loop {
        tokio::time::sleep(RELOAD_INTERVAL).await;
        let Some(certificate) = certificate.upgrade() else { return };
        let path = certificate.files.certificate.display();
        match certificate.reload() {
            Ok(true) => log::info!("certificate {path}: reloaded"),
            Ok(false) => {}
            Err(error) => {
                if !failed_before {
                    log::warn!("certificate {path} is not reloaded: {error:#}");
                }
                failed_before = true;
                continue;
            }
        }
        failed_before = false;
    }
}

fn digest(files: &TlsConfig) -> eyre::Result<blake3::Hash> {
    let mut hasher = blake3::Hasher::new();
    for path in [&files.certificate, &files.key] {
        let bytes = fs::read(path).wrap_err_with(|| format!("{} cannot be read", path.display()))?;
        hasher.update(&(bytes.len() as u64).to_le_bytes());
        hasher.update(&bytes);
    }
    Ok(hasher.finalize())
}

fn load(files: &TlsConfig, provider: &CryptoProvider) -> eyre::Result<LoadedCertificate> {
    let digest = digest(files)?;
    let (certificate, key) = (files.certificate.display(), files.key.display());
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .wrap_err_with(|| format!("{certificate} contains no valid certificate chain"))?;
    // The parser's error is dropped, since it could quote the key.
    let private =
        PrivateKeyDer::from_pem_file(&files.key).map_err(|_| eyre::eyre!("{key} contains no private key"))?;
    let private = provider.key_provider.load_private_key(private);
    let private = private.map_err(|_| eyre::eyre!("{key} contains no supported private key"))?;
    let pair = CertifiedKey::new(chain, private);
    pair.keys_match()
        .wrap_err_with(|| format!("private key {key} does not match certificate {certificate}"))?;
    Ok(LoadedCertificate { digest, key: Arc::new(pair) })
}
