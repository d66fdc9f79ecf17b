//! `mustardpin node`: runs the node process.

use std::path::PathBuf;

use lexopt::{Arg, Parser};
use mustardpin_settings::Settings;

use crate::error::Error;

const HELP: &str = "\
Runs the node process in a target's slot until SIGTERM or SIGINT, then finishes every request in
progress and exits.

Usage: mustardpin node --settings FILE

Exit codes: 0 stopped after finishing its requests; 1 failed; 2 wrong settings.";

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
    let _settings = Settings::load(&file)?;
    Err(Error::Usage("the node process is not built yet".to_owned()))
}
