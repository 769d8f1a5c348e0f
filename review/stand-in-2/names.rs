//! The platform's names for headers, calls and settings.

include!("names.in");
