//! Tests of the settings.

mod settings;
