//! Certificates of the listeners, reloaded when their files change.

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

/// Time between two looks at the files.
const RELOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Where a listener's certificate lies.
#[derive(Clone, Debug)]
pub struct TlsConfig {
    /// The certificate and its chain, as PEM.
    pub certificate: PathBuf,
    /// The private key, as PEM.
    pub key: PathBuf,
}

/// A certificate that follows its files. Connections that are open keep the one they began with.
#[derive(Debug)]
pub struct ReloadingCertificate {
    files: TlsConfig,
    provider: Arc<CryptoProvider>,
    current: RwLock<Loaded>,
}

#[derive(Clone, Debug)]
struct Loaded {
    /// Digest over both files.
    digest: blake3::Hash,
    key: Arc<CertifiedKey>,
}

impl ReloadingCertificate {
    /// Loads the certificate.
    ///
    /// # Errors
    /// Fails if a file cannot be read, or the key does not belong to the certificate.
    pub fn load(files: &TlsConfig) -> eyre::Result<Arc<Self>> {
        let provider = Arc::new(ring::default_provider());
        let loaded = load(files, &provider)?;
        Ok(Arc::new(Self { files: files.clone(), provider, current: RwLock::new(loaded) }))
    }

    /// Loads the files again if they changed; returns whether another certificate is in use now.
    ///
    /// # Errors
    /// Fails if the files make no valid pair; the certificate in use stays.
    pub fn reload(&self) -> eyre::Result<bool> {
        let in_use = self.current.read().unwrap_or_else(PoisonError::into_inner).digest;
        if digest(&self.files)? == in_use {
            return Ok(false);
        }
        let loaded = load(&self.files, &self.provider)?;
        *self.current.write().unwrap_or_else(PoisonError::into_inner) = loaded;
        Ok(true)
    }

    /// Returns the settings of a listener that presents this certificate.
    ///
    /// # Errors
    /// Fails if the cryptography in use offers no protocol version.
    pub fn server_config(self: &Arc<Self>) -> eyre::Result<ServerConfig> {
        let builder = ServerConfig::builder_with_provider(Arc::clone(&self.provider));
        let builder = builder.with_safe_default_protocol_versions()?;
        Ok(builder.with_no_client_auth().with_cert_resolver(Arc::<Self>::clone(self)))
    }
}

impl ResolvesServerCert for ReloadingCertificate {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(Arc::clone(&self.current.read().unwrap_or_else(PoisonError::into_inner).key))
    }
}

/// Follows the files until the listener is gone. A pair that is being replaced file by file is not valid for
/// a moment; the certificate in use stays until both are there.
pub async fn follow(certificate: Weak<ReloadingCertificate>) {
    let mut failing = false;
    loop {
        tokio::time::sleep(RELOAD_INTERVAL).await;
        let Some(certificate) = certificate.upgrade() else { return };
        let path = certificate.files.certificate.display();
        match certificate.reload() {
            Ok(true) => log::info!("certificate {path}: reloaded"),
            Ok(false) => {}
            Err(error) => {
                if !failing {
                    log::warn!("certificate {path} is not reloaded: {error:#}");
                }
                failing = true;
                continue;
            }
        }
        failing = false;
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

fn load(files: &TlsConfig, provider: &CryptoProvider) -> eyre::Result<Loaded> {
    let digest = digest(files)?;
    let (certificate, key) = (files.certificate.display(), files.key.display());
    let chain = CertificateDer::pem_file_iter(&files.certificate)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .wrap_err_with(|| format!("{certificate} holds no certificate"))?;
    // The error of the parser is left out: it must not quote the key.
    let private =
        PrivateKeyDer::from_pem_file(&files.key).map_err(|_| eyre::eyre!("{key} holds no private key"))?;
    let private = provider.key_provider.load_private_key(private);
    let private = private.map_err(|_| eyre::eyre!("{key} holds no usable private key"))?;
    let pair = CertifiedKey::new(chain, private);
    pair.keys_match().wrap_err_with(|| format!("{key} does not belong to {certificate}"))?;
    Ok(Loaded { digest, key: Arc::new(pair) })
}
