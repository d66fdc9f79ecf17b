//! The subcommands, one file each.

pub mod check;
pub mod defaults;
pub mod exceptions;
pub mod keys;
pub mod node;
pub mod proposal;
pub mod status;

use std::path::PathBuf;

use lexopt::{Arg, Parser, ValueExt as _};

use crate::error::Error;

const HELP: &str = "\
Overload control for service call graphs.

Usage: mustardpin COMMAND [options]

Commands:
  node        runs the node process in a target's slot
  check       checks a settings file
  defaults    shows and changes the fleet's defaults: teams, routes, importance, rates, bursts
  exceptions  lists, adds and removes departures from the defaults, each with its reason
  keys        issues, lists and withdraws tenant keys
  status      shows the state of a node and what it knows of the fleet

Options:
  --help      this text; `mustardpin COMMAND --help` for one command
  --version   the version

Exit codes:
  0  done
  1  another failure
  2  wrong arguments or settings
  3  another operator's change came first; nothing was changed
  4  the change is not allowed; nothing was changed
  5  no node or store answered; send a change again with its change id
  6  accepted, but not known to be in force everywhere yet
  7  the operator credential is missing or wrong";

/// Runs the subcommand that the arguments name.
pub fn run(mut parser: Parser) -> Result<(), Error> {
    let name: String = match parser.next()? {
        Some(Arg::Value(name)) => name.string()?,
        Some(Arg::Long("version")) => {
            println!("mustardpin {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Some(Arg::Long("help")) => {
            println!("{HELP}");
            return Ok(());
        }
        Some(argument) => return Err(argument.unexpected().into()),
        None => return Err(Error::Usage(format!("no command\n\n{HELP}"))),
    };
    match name.as_str() {
        "node" => node::run(parser),
        "check" => check::run(parser),
        "defaults" => block_on(defaults::run(parser)),
        "exceptions" => block_on(exceptions::run(parser)),
        "keys" => block_on(keys::run(parser)),
        "status" => block_on(status::run(parser)),
        _ => Err(Error::Usage(format!("unknown command `{name}`; see `mustardpin --help`"))),
    }
}

/// Runs an asynchronous command to its end on a runtime of one thread.
fn block_on(command: impl Future<Output = Result<(), Error>>) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(command)
}

/// Prints a value as indented JSON, for scripts.
fn print_json(value: &impl serde::Serialize) -> Result<(), Error> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Parses the arguments of a subcommand whose only option is `--settings`. Returns the file, or
/// `None` after it has printed the help text for `--help`.
fn parse_settings_option(mut parser: Parser, help: &str) -> Result<Option<PathBuf>, Error> {
    let mut file = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("settings") => file = Some(PathBuf::from(parser.value()?)),
            Arg::Long("help") => {
                println!("{help}");
                return Ok(None);
            }
            argument => return Err(argument.unexpected().into()),
        }
    }
    file.map(Some).ok_or_else(|| Error::Usage("--settings FILE is missing".to_owned()))
}
