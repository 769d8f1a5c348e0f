//! Names and descriptors of KV cache blocks.

use std::fmt::Write as _;

use serde::{Deserialize, Serialize};

use crate::ids::{CustomerId, ServiceName, WeightVersion};

/// The scope in which KV cache is shared: one customer, model, adapter and weight version.
#[derive(Clone, Copy, Debug)]
pub struct BlockScope<'a> {
    /// The customer that owns the prompt.
    pub customer: &'a CustomerId,
    /// The model service.
    pub service: &'a ServiceName,
    /// The adapter, empty for the base model.
    pub adapter: &'a str,
    /// The weight version that computed the block.
    pub weight_version: WeightVersion,
}

/// The name of one block: a digest of its scope and of the prompt up to the block's end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BlockName(String);

impl BlockName {
    /// Returns the name, 32 hexadecimal digits if `piece_names` derived it.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for BlockName {
    fn from(text: &str) -> Self {
        Self(text.to_owned())
    }
}

value_types! {
    /// Identifies a block in a store and allows a reader to verify its bytes.
    pub struct BlockDescriptor {
        /// The block's name; two generations may have the same.
        pub name: BlockName,
        /// Size in the store.
        pub length_bytes: u64,
        /// Checksum of the block's bytes.
        pub checksum: u32,
        /// Distinguishes successive writes under the same name.
        pub generation: u64,
    }
}

/// Returns the names of the complete pieces of `prompt`, each a digest of the prompt up to the piece's end.
///
/// A piece has `piece_bytes` bytes of text; a shorter rest has no name.
///
/// Two customers, services, adapters or weight versions never share a name, even for equal text.
///
/// ```
/// use daisysill_core::{block::{BlockScope, piece_names}, ids::WeightVersion};
/// let (opera, service) = ("opera-a".into(), "lyric-llm".into());
/// let scope = BlockScope { customer: &opera, service: &service, adapter: "", weight_version: WeightVersion(1) };
/// let names = piece_names(&scope, &"la ".repeat(30), 40);
/// assert_eq!(names.len(), 2);
/// ```
pub fn piece_names(scope: &BlockScope<'_>, prompt: &str, piece_bytes: usize) -> Vec<BlockName> {
    let mut parent = scope_digest(scope);
    let pieces = prompt.as_bytes().chunks_exact(piece_bytes.max(1));
    pieces
        .map(|piece| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(parent.as_bytes());
            hasher.update(piece);
            parent = hasher.finalize();
            BlockName(hex_prefix(parent.as_bytes()))
        })
        .collect()
}

fn scope_digest(scope: &BlockScope<'_>) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    for field in [scope.customer.as_str(), scope.service.as_str(), scope.adapter] {
        // The length prefix keeps ("ab", "c") and ("a", "bc") apart.
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field.as_bytes());
    }
    hasher.update(&scope.weight_version.0.to_le_bytes());
    hasher.finalize()
}

/// Bytes of the digest kept in a name; with 128 bits, accidental collisions are negligible.
const NAME_BYTES: usize = 16;

fn hex_prefix(digest: &[u8; 32]) -> String {
    digest.iter().take(NAME_BYTES).fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
