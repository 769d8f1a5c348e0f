//! Decisions of daisysill as pure functions.
//!
//! Nothing in this package performs I/O, reads a clock or draws a random number: time and randomness are
//! arguments. Every decision carries its reason.

#[macro_use]
mod macros;

pub mod block;
pub mod chart;
pub mod ids;
pub mod ini_check;
pub mod result_code;
pub mod route;
pub mod rules;
pub mod view;
