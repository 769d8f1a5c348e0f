//! Mutual proof of the shared secret at the start of a connection.
//!
//! Both sides send a fresh nonce and then prove the secret by a keyed digest over both nonces and both
//! names. The keys of the connection's frames come from the same values, so a recorded frame is worth
//! nothing on another connection. The client proves first: a stranger that connects learns nothing.

use std::io;

use daisysill_core::{ids::InstanceId, value_types};
use futures::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use tarpc::tokio_util::{
    bytes::Bytes,
    codec::{Framed, LengthDelimitedCodec},
};
use tokio::net::TcpStream;

/// Bytes of a handshake frame at most; a stranger cannot make a node allocate more than this.
const MAX_HANDSHAKE_BYTES: usize = 1_024;
/// Sets the use of the secret apart from any other.
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

/// The key that this node's secret gives.
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

/// What a successful handshake gives.
pub(crate) struct Session {
    /// The other side.
    pub(crate) peer: InstanceId,
    /// Authenticates the frames that this side sends.
    pub(crate) send_key: [u8; 32],
    /// Authenticates the frames that the other side sends.
    pub(crate) receive_key: [u8; 32],
    /// Bytes received.
    pub(crate) bytes_in: usize,
    /// Bytes sent.
    pub(crate) bytes_out: usize,
    /// The framed connection.
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
        Err(refused("the other side does not know the shared secret"))
    }

    fn proof(&self, label: &[u8]) -> Proof {
        Proof { digest: *self.digest(label).as_bytes() }
    }
}

/// Opens a connection as its client and checks that `expected` is on the other side.
pub(crate) async fn connect(
    stream: TcpStream,
    key: SharedKey,
    own: &InstanceId,
    expected: &InstanceId,
) -> io::Result<Session> {
    let mut channel = Channel::new(stream);
    let client = Hello { name: own.clone(), nonce: rand::random() };
    channel.send(&client).await?;
    let server: Hello = channel.receive().await?;
    if server.name != *expected {
        return Err(refused("another node answers at this address"));
    }
    let transcript = Transcript::new(key, &client, &server);
    channel.send(&transcript.proof(CLIENT_PROOF)).await?;
    transcript.check(SERVER_PROOF, &channel.receive().await?)?;
    let keys = (transcript.digest(CLIENT_FRAMES), transcript.digest(SERVER_FRAMES));
    Ok(channel.session(server.name, *keys.0.as_bytes(), *keys.1.as_bytes()))
}

/// Accepts a connection as its server.
pub(crate) async fn accept(stream: TcpStream, key: SharedKey, own: &InstanceId) -> io::Result<Session> {
    let mut channel = Channel::new(stream);
    let client: Hello = channel.receive().await?;
    let server = Hello { name: own.clone(), nonce: rand::random() };
    channel.send(&server).await?;
    let transcript = Transcript::new(key, &client, &server);
    transcript.check(CLIENT_PROOF, &channel.receive().await?)?;
    channel.send(&transcript.proof(SERVER_PROOF)).await?;
    let keys = (transcript.digest(SERVER_FRAMES), transcript.digest(CLIENT_FRAMES));
    Ok(channel.session(client.name, *keys.0.as_bytes(), *keys.1.as_bytes()))
}

struct Channel {
    frames: RawFrames,
    bytes_in: usize,
    bytes_out: usize,
}

impl Channel {
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
        let frame = self.frames.next().await.ok_or_else(|| refused("closed during the handshake"))??;
        self.bytes_in += frame.len();
        postcard::from_bytes(&frame).map_err(io::Error::other)
    }

    fn session(self, peer: InstanceId, send_key: [u8; 32], receive_key: [u8; 32]) -> Session {
        let Self { frames, bytes_in, bytes_out } = self;
        Session { peer, send_key, receive_key, bytes_in, bytes_out, frames }
    }
}

fn refused(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, text)
}
