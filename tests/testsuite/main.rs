//! End-to-end tests of all programs as separate processes on loopback, one module per feature.

mod broken;
mod command;
mod fleet;
mod keys;
mod kill;
mod memory;
mod operators;
mod pages;
mod pause;
mod platform;
mod played;
mod port;
mod process;
mod relay;
mod soak;
mod stop;
