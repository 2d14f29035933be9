//! Selection among many routers with late reports.

#[path = "../support/mod.rs"]
mod support;

mod rules;
