//! Errors of the command and their exit codes.

use std::path::PathBuf;

use compact_str::CompactString;
use derive_more::{Display, Error, From};

use crate::{assignment, client};

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The arguments could not be parsed.
    #[display("{_0}; see `mustardpin --help`")]
    Arguments(lexopt::Error),
    /// The arguments are incomplete or do not fit together.
    #[display("{_0}")]
    #[from(skip)]
    Usage(#[error(not(source))] String),
    /// The settings file could not be read or is not valid.
    #[display("{_0}")]
    Settings(mustardpin_settings::Error),
    /// An assignment to a field of a row is not valid.
    #[display("{_0}")]
    Assignment(assignment::Error),
    /// A file could not be read.
    #[display("cannot read {}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A call of the administration API failed.
    #[display("{_0}")]
    Client(client::Error),
    /// A row that the command needs does not exist.
    #[display("there is no {_0}; see `mustardpin defaults show`, `keys list` or `exceptions list`")]
    #[from(skip)]
    NotFound(#[error(not(source))] CompactString),
    /// A row of this name exists already.
    #[display("there is a {_0} already; choose another name")]
    #[from(skip)]
    AlreadyExists(#[error(not(source))] CompactString),
    /// The change was accepted, but some nodes did not confirm in time that it is in force.
    #[display(
        "revision {_0} is accepted, but not known to be in force everywhere; run `mustardpin keys withdraw` again to look again"
    )]
    #[from(skip)]
    NotInForce(#[error(not(source))] u64),
    /// The output could not be encoded as JSON.
    #[display("cannot show the answer as JSON")]
    Json(serde_json::Error),
    /// The node could not start.
    #[display("the node cannot start")]
    Node(mustardpin_node::Error),
    /// The asynchronous runtime could not be started.
    #[display("cannot start the asynchronous runtime")]
    Runtime(std::io::Error),
}

impl Error {
    /// The exit code, as `mustardpin --help` lists them.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Arguments(_) | Error::Usage(_) | Error::Settings(_) | Error::Assignment(_) => 2,
            Error::Client(error) => error.exit_code(),
            Error::NotFound(_) | Error::AlreadyExists(_) => 4,
            Error::NotInForce(_) => 6,
            Error::File { .. } | Error::Json(_) | Error::Node(_) | Error::Runtime(_) => 1,
        }
    }
}

/// Prints an error and its chain of causes to standard error.
pub fn print(error: &dyn std::error::Error) {
    eprintln!("error: {error}");
    let mut shown = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        let text = error.to_string();
        // A transparent wrapper has already shown the text of its source.
        if !shown.contains(&text) {
            eprintln!("  caused by: {text}");
            shown = text;
        }
        cause = error.source();
    }
}
