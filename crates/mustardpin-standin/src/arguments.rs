//! Parsing of command-line arguments, shared by the stand-ins.

use std::{net::SocketAddr, process::ExitCode, str::FromStr, time::Duration};

use derive_more::{Display, Error, From};
use lexopt::ValueExt as _;

/// The exit code for wrong arguments.
pub const USAGE_EXIT_CODE: u8 = 2;

/// An error in the command-line arguments.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An unknown option, or a value that cannot be parsed.
    #[display("{_0}")]
    Lexopt(lexopt::Error),
    /// A required option is missing.
    #[display("{_0} is missing; see --help")]
    #[from(skip)]
    Missing(#[error(not(source))] &'static str),
    /// A value is malformed.
    #[display("{option}: `{value}` is not {expected}")]
    Malformed {
        /// The option, with its dashes.
        option: &'static str,
        /// The value as given.
        value: String,
        /// The form that the value must have.
        expected: &'static str,
    },
}

/// Parses the value of the option just read.
pub fn value<T>(parser: &mut lexopt::Parser) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    Ok(parser.value()?.parse()?)
}

/// Parses the value of the option just read as a number of milliseconds.
pub fn millis(parser: &mut lexopt::Parser) -> Result<Duration, Error> {
    Ok(Duration::from_millis(value(parser)?))
}

/// Unwraps the address of a required option.
///
/// ```
/// use mustardpin_standin::arguments::{Error, required};
/// assert!(matches!(required(None, "--node"), Err(Error::Missing("--node"))));
/// ```
pub fn required(address: Option<SocketAddr>, option: &'static str) -> Result<SocketAddr, Error> {
    address.ok_or(Error::Missing(option))
}

/// Prints an error in the arguments to standard error and returns the exit code.
pub fn report_usage_error(program: &str, error: &Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(USAGE_EXIT_CODE)
}
