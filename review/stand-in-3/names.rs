//! The platform's names for headers, calls and settings.

include!("../stand-in-2/names.in");
