//! Tests of the node library.

mod admin;
