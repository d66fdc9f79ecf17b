//! Reads the arguments of the stand-ins.

use std::{net::SocketAddr, process::ExitCode, str::FromStr, time::Duration};

use derive_more::{Display, Error, From};
use lexopt::ValueExt as _;

/// The exit code for wrong arguments.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Why the arguments were not accepted.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An unknown option, or a value that cannot be read.
    #[display("{_0}")]
    Lexopt(lexopt::Error),
    /// An option that is needed is missing.
    #[display("{_0} is missing; see --help")]
    #[from(skip)]
    Missing(#[error(not(source))] &'static str),
    /// A value is malformed.
    #[display("{option}: `{value}` is not {expected}")]
    Malformed {
        /// The option.
        option: &'static str,
        /// Its value.
        value: String,
        /// What it has to be.
        expected: &'static str,
    },
}

/// The value of the option just read.
pub fn value<T>(parser: &mut lexopt::Parser) -> Result<T, Error>
where
    T: FromStr,
    T::Err: Into<Box<dyn std::error::Error + Send + Sync + 'static>>,
{
    Ok(parser.value()?.parse()?)
}

/// The value of the option just read, in milliseconds.
pub fn millis(parser: &mut lexopt::Parser) -> Result<Duration, Error> {
    Ok(Duration::from_millis(value(parser)?))
}

/// An address that has to be there.
pub fn required(address: Option<SocketAddr>, option: &'static str) -> Result<SocketAddr, Error> {
    address.ok_or(Error::Missing(option))
}

/// Prints why the arguments were not accepted, and gives the exit code.
pub fn usage(program: &str, error: &Error) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(USAGE_EXIT_CODE)
}
