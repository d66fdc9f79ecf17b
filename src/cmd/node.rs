//! `mustardpin node`: runs the node process.

use std::sync::Arc;

use lexopt::Parser;
use mustardpin_node::{Launch, launch::Dependencies};
use mustardpin_platform::{Client, store::Writers};
use mustardpin_settings::Settings;
use mustardpin_wire::native::Native;

use crate::{cmd::parse_settings_option, error::Error};

const HELP: &str = "\
Runs the node process in a target's slot until SIGTERM or SIGINT, then finishes every request in
progress and exits.

Usage: mustardpin node --settings FILE

Exit codes: 0 stopped after finishing its requests; 1 failed; 2 wrong settings.";

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(file) = parse_settings_option(parser, HELP)? else { return Ok(()) };
    let settings = Settings::load(&file)?;
    let platform = settings.platform;
    let dependencies = Dependencies {
        dialect: Arc::new(Native::new(settings.service.clone())),
        store: Box::new(move |control| {
            Box::new(Client::new(platform.address, platform.timeout, Writers::Nodes, control))
        }),
        settings_file: Some(file),
    };
    mustardpin_node::run(Launch::new(settings, dependencies))?;
    Ok(())
}
