//! Errors of reading and checking settings.

use std::{io, path::PathBuf};

use compact_str::CompactString;
use derive_more::{Display, Error};

/// An error that keeps a settings file from being used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file could not be read.
    #[display("cannot read settings file {}", file.display())]
    Read {
        /// The path of the settings file.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not well-formed YAML, or has a key twice.
    #[display("settings file {} is not well-formed YAML", file.display())]
    Syntax {
        /// The path of the settings file.
        file: PathBuf,
        /// The error of the parser, with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// Some keys are missing, unknown or have invalid values. All of them are listed.
    #[display("{}", problems.iter().map(|problem| format!("{}: {problem}", file.display())).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// The path of the settings file.
        file: PathBuf,
        /// The problems, in the order in which settings are read.
        problems: Vec<Problem>,
    },
}

/// A problem with one key.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// A required key is missing.
    #[display("{key}: not set; set it to {expected}")]
    Missing {
        /// The dotted key.
        key: CompactString,
        /// The form that the value must have.
        expected: CompactString,
    },
    /// No setting has this key.
    #[display("{key}: unknown key with value `{value}`{}", match nearest {
        Some(nearest) => format!("; did you mean {nearest}?"),
        None => "; remove it".to_owned(),
    })]
    Unknown {
        /// The dotted key.
        key: CompactString,
        /// The value of the key, or a placeholder for a credential.
        value: CompactString,
        /// The known key with the smallest edit distance, if it is close enough to be suggested.
        nearest: Option<CompactString>,
    },
    /// The value does not have the form that the key requires.
    #[display("{key}: `{value}` is not accepted; change it to {expected}")]
    Malformed {
        /// The dotted key.
        key: CompactString,
        /// The value, or a placeholder for a credential.
        value: CompactString,
        /// The form that the value must have.
        expected: CompactString,
    },
    /// The value is too small or too large.
    #[display("{key}: `{value}` is out of range; choose from {least} to {most}")]
    OutOfRange {
        /// The dotted key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// The minimum, with its unit.
        least: CompactString,
        /// The maximum, with its unit.
        most: CompactString,
    },
    /// The values of two keys conflict.
    #[display("{key}: `{value}` does not go with {other}; {remedy}")]
    Conflict {
        /// The dotted key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// The dotted key of the conflicting value.
        other: CompactString,
        /// What to change to resolve the conflict.
        remedy: CompactString,
    },
}
