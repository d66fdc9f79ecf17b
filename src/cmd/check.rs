//! `mustardpin check`: checks a settings file.

use std::path::PathBuf;

use lexopt::{Arg, Parser};
use mustardpin_settings::Settings;

use crate::error::Error;

const HELP: &str = "\
Checks a settings file in full and lists everything that is wrong with it.

Usage: mustardpin check --settings FILE

Exit codes: 0 the file is right; 2 it is not.";

/// Runs the command.
pub fn run(mut parser: Parser) -> Result<(), Error> {
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("help") => {
                println!("{HELP}");
                return Ok(());
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    let file = file.ok_or_else(|| Error::Usage("--settings FILE is missing".to_owned()))?;
    let settings = Settings::load(&file)?;
    println!("{}: right: node of {} in {}", file.display(), settings.service, settings.data_centre);
    Ok(())
}
