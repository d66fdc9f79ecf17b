//! Parses the `KEY=VALUE` arguments that set the fields of a row, such as `rate=100 burst=20`.

use compact_str::CompactString;
use derive_more::{Display, Error};
use mustardpin_settings::reader::parse_duration;
use mustardpin_wire::config as wire;
use mustardpin_world::{
    Millis,
    config::{CutOffPolicy, Importance, Part},
};

/// Why an assignment was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// The argument is not written as `KEY=VALUE`.
    #[display("`{_0}` is not an assignment; write KEY=VALUE")]
    NotAssignment(#[error(not(source))] CompactString),
    /// Rows of this kind have no such key.
    #[display("{row}: unknown key `{key}` with value `{value}`; the keys are {known}")]
    UnknownKey {
        /// Path of the row.
        row: CompactString,
        /// The key in the assignment.
        key: CompactString,
        /// The value in the assignment.
        value: CompactString,
        /// All keys of rows of this kind, separated by commas.
        known: CompactString,
    },
    /// A required key is missing.
    #[display("{row}: {key} is not set; add {key}=VALUE with {expected}")]
    MissingKey {
        /// Path of the row.
        row: CompactString,
        /// The key that must be assigned.
        key: &'static str,
        /// Description of the values that are accepted.
        expected: &'static str,
    },
    /// The value does not parse as the type of the key.
    #[display("{row}: {key}: `{value}` is not accepted; write {expected}")]
    InvalidValue {
        /// Path of the row.
        row: CompactString,
        /// The key in the assignment.
        key: &'static str,
        /// The value in the assignment.
        value: CompactString,
        /// Description of the values that are accepted.
        expected: &'static str,
    },
}

/// A type of value that can be parsed from an assignment.
pub trait Value: Sized {
    /// Description of the accepted texts, for error messages.
    const EXPECTED: &'static str;

    /// Parses a value; `None` if it is malformed.
    fn from_text(text: &str) -> Option<Self>;
}

impl Value for u32 {
    const EXPECTED: &'static str = "a whole number such as 100";

    fn from_text(text: &str) -> Option<u32> {
        text.parse().ok()
    }
}

impl Value for u8 {
    const EXPECTED: &'static str = "a whole number up to 255";

    fn from_text(text: &str) -> Option<u8> {
        text.parse().ok()
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "true or false";

    fn from_text(text: &str) -> Option<bool> {
        text.parse().ok()
    }
}

impl Value for Millis {
    const EXPECTED: &'static str = "a length of time such as 500ms, 3s or 10min";

    fn from_text(text: &str) -> Option<Millis> {
        parse_duration(text)
    }
}

impl Value for Importance {
    const EXPECTED: &'static str = "low, normal, high, critical or a number up to 255";

    fn from_text(text: &str) -> Option<Importance> {
        wire::Importance::try_from(text).ok().map(|importance| importance.0)
    }
}

impl Value for CutOffPolicy {
    const EXPECTED: &'static str = "refuse, or serve:TIME such as serve:30s";

    fn from_text(text: &str) -> Option<CutOffPolicy> {
        if text == "refuse" {
            return Some(CutOffPolicy::Refuse);
        }
        text.strip_prefix("serve:").and_then(parse_duration).map(CutOffPolicy::Serve)
    }
}

impl Value for CompactString {
    const EXPECTED: &'static str = "a text";

    fn from_text(text: &str) -> Option<CompactString> {
        Some(text.into())
    }
}

/// A list of names; empty for `all`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names(pub Vec<CompactString>);

impl Value for Names {
    const EXPECTED: &'static str = "names with commas between them, or all";

    fn from_text(text: &str) -> Option<Names> {
        if text == "all" {
            return Some(Names::default());
        }
        Some(Names(text.split(',').map(CompactString::from).collect()))
    }
}

/// The services of a route with their weights.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Parts(pub Vec<Part>);

impl Value for Parts {
    const EXPECTED: &'static str = "a service, or services with weights such as old:90,new:10";

    fn from_text(text: &str) -> Option<Parts> {
        let part = |text: &str| match text.split_once(':') {
            None => Some(Part { service: text.into(), weight: 1 }),
            Some((service, weight)) => {
                Some(Part { service: service.into(), weight: weight.parse().ok()? })
            }
        };
        text.split(',').map(part).collect::<Option<Vec<Part>>>().map(Parts)
    }
}

impl std::fmt::Display for Parts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if let [only] = &self.0[..] {
            return f.write_str(&only.service);
        }
        for (index, part) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{}:{}", part.service, part.weight)?;
        }
        Ok(())
    }
}

/// An optional value; `None` for `none` or `any`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoneOr<T>(pub Option<T>);

impl<T: Value> Value for NoneOr<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn from_text(text: &str) -> Option<NoneOr<T>> {
        if text == "none" || text == "any" {
            return Some(NoneOr(None));
        }
        T::from_text(text).map(|value| NoneOr(Some(value)))
    }
}

/// An optional name; `None` for `any`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnyOr(pub Option<CompactString>);

impl Value for AnyOr {
    const EXPECTED: &'static str = "a name, or any";

    fn from_text(text: &str) -> Option<AnyOr> {
        Some(AnyOr((text != "any").then(|| text.into())))
    }
}

/// The assignments for one row that have not been used yet.
#[derive(Debug)]
pub struct Assignments {
    row: CompactString,
    values: Vec<(CompactString, CompactString)>,
    known: Vec<&'static str>,
}

impl Assignments {
    /// Splits the arguments into keys and values for the row of this path.
    pub fn parse(row: CompactString, texts: &[String]) -> Result<Assignments, Error> {
        let mut values = Vec::new();
        for text in texts {
            let Some((key, value)) = text.split_once('=') else {
                return Err(Error::NotAssignment(text.into()));
            };
            values.push((key.into(), value.into()));
        }
        Ok(Assignments { row, values, known: Vec::new() })
    }

    /// Returns the value that is assigned to a key, or the current one.
    pub fn value<T: Value>(&mut self, key: &'static str, current: T) -> Result<T, Error> {
        Ok(self.optional(key)?.unwrap_or(current))
    }

    /// Returns the value that is assigned to a key, or the current one; fails if there is neither.
    pub fn required<T: Value>(
        &mut self,
        key: &'static str,
        current: Option<T>,
    ) -> Result<T, Error> {
        let missing = Error::MissingKey { row: self.row.clone(), key, expected: T::EXPECTED };
        self.optional(key)?.or(current).ok_or(missing)
    }

    fn optional<T: Value>(&mut self, key: &'static str) -> Result<Option<T>, Error> {
        self.known.push(key);
        let Some(index) = self.values.iter().position(|(found, _)| found == key) else {
            return Ok(None);
        };
        let (_, value) = self.values.remove(index);
        match T::from_text(&value) {
            Some(value) => Ok(Some(value)),
            None => Err(Error::InvalidValue {
                row: self.row.clone(),
                key,
                value,
                expected: T::EXPECTED,
            }),
        }
    }

    /// Fails if an assignment was not used, because its key is unknown.
    pub fn finish(self) -> Result<(), Error> {
        match self.values.into_iter().next() {
            None => Ok(()),
            Some((key, value)) => Err(Error::UnknownKey {
                row: self.row,
                key,
                value,
                known: self.known.join(", ").into(),
            }),
        }
    }
}
