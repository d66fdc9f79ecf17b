//! Why a command failed, and the exit code that says so.

use std::path::PathBuf;

use compact_str::CompactString;
use derive_more::{Display, Error, From};

use crate::{assignment, client};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The arguments could not be read.
    #[display("{_0}; see `mustardpin --help`")]
    Arguments(lexopt::Error),
    /// The arguments do not make sense together.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// The settings were not accepted.
    #[display("{_0}")]
    Settings(mustardpin_settings::Error),
    /// A value of a row is wrong.
    #[display("{_0}")]
    Assignment(assignment::Error),
    /// A file could not be read.
    #[display("cannot read {}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The administration API did not do what was asked.
    #[display("{_0}")]
    Client(client::Error),
    /// Something named does not exist.
    #[display("there is no {_0}; see `mustardpin defaults show`, `keys list` or `exceptions list`")]
    #[from(skip)]
    Missing(#[error(not(source))] CompactString),
    /// Something named exists already.
    #[display("there is a {_0} already; choose another name")]
    #[from(skip)]
    Taken(#[error(not(source))] CompactString),
    /// The change was accepted, but is not known to be in force everywhere.
    #[display(
        "revision {_0} is accepted, but not known to be in force everywhere; run `mustardpin keys withdraw` again to look again"
    )]
    #[from(skip)]
    NotInForce(#[error(not(source))] u64),
    /// The answer cannot be shown as JSON.
    #[display("cannot show the answer as JSON")]
    Json(serde_json::Error),
    /// The node could not start.
    #[display("the node cannot start")]
    Node(mustardpin_node::Error),
    /// The runtime could not be started.
    #[display("cannot start")]
    Start(std::io::Error),
}

impl Error {
    /// The exit code, as `mustardpin --help` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Arguments(_) | Error::Usage(_) | Error::Settings(_) | Error::Assignment(_) => 2,
            Error::Client(error) => error.exit_code(),
            Error::Missing(_) | Error::Taken(_) => 4,
            Error::NotInForce(_) => 6,
            Error::File { .. } | Error::Json(_) | Error::Node(_) | Error::Start(_) => 1,
        }
    }
}

/// Prints an error with its chain of causes.
pub fn print(error: &dyn std::error::Error) {
    eprintln!("error: {error}");
    let mut shown = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let text = error.to_string();
        // A layer that passes the error on has shown its text already.
        if !shown.contains(&text) {
            eprintln!("  caused by: {text}");
            shown = text;
        }
        cause = error.source();
    }
}
