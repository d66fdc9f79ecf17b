//! Why settings were not accepted.

use std::{io, path::PathBuf};

use compact_str::CompactString;
use derive_more::{Display, Error};

/// Why settings were not accepted.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file could not be read.
    #[display("cannot read settings file {}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// What the operating system said.
        source: io::Error,
    },
    /// The file is not YAML.
    #[display("settings file {} is not well-formed YAML", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// What the parser said, with line and column.
        source: Box<serde_saphyr::Error>,
    },
    /// Some values are missing or wrong. All of them are listed.
    #[display("{}", problems.iter().map(|problem| format!("{}: {problem}", file.display())).collect::<Vec<_>>().join("\n"))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The problems, in the order in which settings are read.
        problems: Vec<Problem>,
    },
}

/// One key at fault.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Problem {
    /// A key that has to be set is missing.
    #[display("{key}: not set; set it to {expected}")]
    Missing {
        /// The dotted key.
        key: CompactString,
        /// What the value has to be.
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
        /// Its value.
        value: CompactString,
        /// The known key most like it.
        nearest: Option<CompactString>,
    },
    /// The value is not of the kind that the key needs.
    #[display("{key}: `{value}` is not accepted; change it to {expected}")]
    Malformed {
        /// The dotted key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// What the value has to be.
        expected: CompactString,
    },
    /// The value is too small or too large.
    #[display("{key}: `{value}` is out of range; choose from {least} to {most}")]
    OutOfRange {
        /// The dotted key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// The least that is allowed, with its unit.
        least: CompactString,
        /// The most that is allowed, with its unit.
        most: CompactString,
    },
    /// Two values do not go together.
    #[display("{key}: `{value}` does not go with {other}; {remedy}")]
    Clash {
        /// The dotted key.
        key: CompactString,
        /// The value.
        value: CompactString,
        /// The other key.
        other: CompactString,
        /// What to change.
        remedy: CompactString,
    },
}
