//! Macros that declare types with the common sets of derives.

/// Declares structs and enums with the derives that stored and transmitted values need.
#[macro_export]
macro_rules! value_types {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]
            $vis $kind $name $body
        )*
    };
}

/// Declares string newtypes used as identifiers.
#[macro_export]
macro_rules! string_ids {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(transparent)]
            pub struct $name(String);

            impl $name {
                /// Returns the identifier as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl From<&str> for $name {
                fn from(text: &str) -> Self {
                    Self(text.to_owned())
                }
            }

            impl From<String> for $name {
                fn from(text: String) -> Self {
                    Self(text)
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}

/// Declares integer newtypes for numbers that only increase.
#[macro_export]
macro_rules! number_ids {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(pub u64);

            impl $name {
                /// Returns the next higher number.
                #[must_use]
                pub fn next(self) -> Self {
                    Self(self.0 + 1)
                }
            }

            impl std::fmt::Display for $name {
                fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                    self.0.fmt(f)
                }
            }
        )*
    };
}
