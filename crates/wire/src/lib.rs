//! Types of the HTTP interfaces and the tarpc service between daisysill nodes.

pub mod list_items;
pub mod peer;
mod places;
mod soft_state;

/// Types of the HTTP interfaces, generated from `schema/border.json` with
/// `cargo typify schema/border.json --no-builder --additional-derive PartialEq -o src/generated/border.rs`.
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[path = "generated/border.rs"]
pub mod http_types;
