//! `mustardpin check`: checks a settings file.

use lexopt::Parser;
use mustardpin_settings::Settings;

use crate::{cmd::parse_settings_option, error::Error};

const HELP: &str = "\
Checks a settings file in full and lists everything that is wrong with it.

Usage: mustardpin check --settings FILE

Exit codes: 0 the file is right; 2 it is not.";

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(file) = parse_settings_option(parser, HELP)? else { return Ok(()) };
    let settings = Settings::load(&file)?;
    println!("{}: right: node of {} in {}", file.display(), settings.service, settings.data_centre);
    Ok(())
}
