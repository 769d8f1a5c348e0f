//! Mutual authentication by the shared secret at the start of a connection.
//!
//! Both sides send a fresh nonce and then prove knowledge of the secret by a keyed digest over both nonces and both
//! names. The frame keys of the connection are derived from the same values, so frames cannot be replayed on another
//! connection. The client proves first: an unauthenticated client receives no digest made with the secret.

use std::io;

use daisysill_core::{ids::InstanceId, value_types};
use futures::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::tokio_util::{
    bytes::Bytes,
    codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::TcpStream;

/// Maximum bytes of a handshake frame; limits what an unauthenticated client can make a node allocate.
const MAX_HANDSHAKE_BYTES: usize = 1_024;
/// Key derivation context: separates this use of the secret from others.
const KEY_CONTEXT: &str = "daisysill peer connection v1";
const CLIENT_PROOF: &[u8] = b"client proof";
const SERVER_PROOF: &[u8] = b"server proof";
const CLIENT_FRAMES: &[u8] = b"client frames";
const SERVER_FRAMES: &[u8] = b"server frames";

/// A framed connection before its messages are typed.
pub(crate) type RawFrames = Framed<TcpStream, LengthDelimitedCodec>;

value_types! {
    /// The first message of each side.
    struct Hello {
        name: InstanceId,
        nonce: [u8; 32],
    }

    /// The second message of each side.
    struct Proof {
        digest: [u8; 32],
    }
}

/// The key derived from the shared secret.
#[derive(Clone, Copy)]
pub(crate) struct SharedKey([u8; 32]);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey")
    }
}

impl SharedKey {
    /// Derives the key from the configured secret.
    pub(crate) fn new(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }
}

/// An authenticated connection.
pub(crate) struct Session {
    /// Authenticated name of the other node.
    pub(crate) peer: InstanceId,
    /// Key of the frames that this side sends.
    pub(crate) send_key: [u8; 32],
    /// Key of the frames that the other side sends.
    pub(crate) receive_key: [u8; 32],
    /// Bytes received during the handshake.
    pub(crate) bytes_in: usize,
    /// Bytes sent during the handshake.
    pub(crate) bytes_out: usize,
    pub(crate) frames: RawFrames,
}

struct Transcript {
    key: SharedKey,
    bytes: Vec<u8>,
}

impl Transcript {
    fn new(key: SharedKey, client: &Hello, server: &Hello) -> Self {
        let mut bytes = Vec::new();
        bytes.extend(client.nonce);
        bytes.extend(server.nonce);
        for name in [&client.name, &server.name] {
            bytes.extend((name.as_str().len() as u64).to_le_bytes());
            bytes.extend(name.as_str().as_bytes());
        }
        Self { key, bytes }
    }

    fn digest(&self, label: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.key.0);
        hasher.update(label).update(&self.bytes);
        hasher.finalize()
    }

    fn check(&self, label: &[u8], proof: &Proof) -> io::Result<()> {
        // `Hash` compares in constant time.
        if self.digest(label) == blake3::Hash::from_bytes(proof.digest) {
            return Ok(());
        }
        Err(permission_denied("the peer does not know the shared secret"))
    }

    fn proof(&self, label: &[u8]) -> Proof {
        Proof { digest: *self.digest(label).as_bytes() }
    }
}

/// Performs the client side of the handshake; fails unless the other node's name is `expected`.
pub(crate) async fn connect(
    stream: TcpStream,
    key: SharedKey,
    own: &InstanceId,
    expected: &InstanceId,
) -> io::Result<Session> {
    let mut handshake = HandshakeStream::new(stream);
    let client = Hello { name: own.clone(), nonce: rand::random() };
    handshake.send(&client).await?;
    let server: Hello = handshake.receive().await?;
    if server.name != *expected {
        return Err(permission_denied("the node at this address has another name"));
    }
    let transcript = Transcript::new(key, &client, &server);
    handshake.send(&transcript.proof(CLIENT_PROOF)).await?;
    transcript.check(SERVER_PROOF, &handshake.receive().await?)?;
    let keys = (transcript.digest(CLIENT_FRAMES), transcript.digest(SERVER_FRAMES));
    Ok(handshake.session(server.name, *keys.0.as_bytes(), *keys.1.as_bytes()))
}

/// Performs the server side of the handshake.
pub(crate) async fn accept(stream: TcpStream, key: SharedKey, own: &InstanceId) -> io::Result<Session> {
    let mut handshake = HandshakeStream::new(stream);
    let client: Hello = handshake.receive().await?;
    let server = Hello { name: own.clone(), nonce: rand::random() };
    handshake.send(&server).await?;
    let transcript = Transcript::new(key, &client, &server);
    transcript.check(CLIENT_PROOF, &handshake.receive().await?)?;
    handshake.send(&transcript.proof(SERVER_PROOF)).await?;
    let keys = (transcript.digest(SERVER_FRAMES), transcript.digest(CLIENT_FRAMES));
    Ok(handshake.session(client.name, *keys.0.as_bytes(), *keys.1.as_bytes()))
}

struct HandshakeStream {
    frames: RawFrames,
    bytes_in: usize,
    bytes_out: usize,
}

impl HandshakeStream {
    fn new(stream: TcpStream) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_HANDSHAKE_BYTES).new_codec();
        Self { frames: Framed::new(stream, codec), bytes_in: 0, bytes_out: 0 }
    }

    async fn send<T: Serialize>(&mut self, message: &T) -> io::Result<()> {
        let bytes = postcard::to_stdvec(message).map_err(io::Error::other)?;
        self.bytes_out += bytes.len();
        self.frames.send(Bytes::from(bytes)).await
    }

    async fn receive<T: DeserializeOwned>(&mut self) -> io::Result<T> {
        let frame = self
            .frames
            .next()
            .await
            .ok_or_else(|| permission_denied("connection closed during the handshake"))??;
        self.bytes_in += frame.len();
        postcard::from_bytes(&frame).map_err(io::Error::other)
    }

    fn session(self, peer: InstanceId, send_key: [u8; 32], receive_key: [u8; 32]) -> Session {
        let Self { frames, bytes_in, bytes_out } = self;
        Session { peer, send_key, receive_key, bytes_in, bytes_out, frames }
    }
}

fn permission_denied(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, text)
}
