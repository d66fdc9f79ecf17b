//! Values of a row as operators write them: `rate=100 burst=20`.

use compact_str::CompactString;
use derive_more::{Display, Error};
use mustardpin_settings::reader::parse_duration;
use mustardpin_wire::config as wire;
use mustardpin_world::{
    Millis,
    config::{CutOffPolicy, Importance, Part},
};

/// Why values were not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum Error {
    /// Not written as `KEY=VALUE`.
    #[display("`{_0}` is not an assignment; write KEY=VALUE")]
    Form(#[error(not(source))] CompactString),
    /// No such key.
    #[display("{row}: unknown key `{key}` with value `{value}`; the keys are {known}")]
    Unknown {
        /// The row.
        row: CompactString,
        /// The key.
        key: CompactString,
        /// Its value.
        value: CompactString,
        /// All keys of such rows.
        known: CompactString,
    },
    /// A key that has to be set is missing.
    #[display("{row}: {key} is not set; add {key}=VALUE with {expected}")]
    Missing {
        /// The row.
        row: CompactString,
        /// The key.
        key: &'static str,
        /// What the value has to be.
        expected: &'static str,
    },
    /// The value is not of the kind that the key needs.
    #[display("{row}: {key}: `{value}` is not accepted; write {expected}")]
    Malformed {
        /// The row.
        row: CompactString,
        /// The key.
        key: &'static str,
        /// The value.
        value: CompactString,
        /// What it has to be.
        expected: &'static str,
    },
}

/// A kind of value, and how it is read.
pub trait Value: Sized {
    /// What to write.
    const EXPECTED: &'static str;

    /// Reads a value; `None` if it is malformed.
    fn read(text: &str) -> Option<Self>;
}

impl Value for u32 {
    const EXPECTED: &'static str = "a whole number such as 100";

    fn read(text: &str) -> Option<u32> {
        text.parse().ok()
    }
}

impl Value for u8 {
    const EXPECTED: &'static str = "a whole number up to 255";

    fn read(text: &str) -> Option<u8> {
        text.parse().ok()
    }
}

impl Value for bool {
    const EXPECTED: &'static str = "true or false";

    fn read(text: &str) -> Option<bool> {
        text.parse().ok()
    }
}

impl Value for Millis {
    const EXPECTED: &'static str = "a length of time such as 500ms, 3s or 10min";

    fn read(text: &str) -> Option<Millis> {
        parse_duration(text)
    }
}

impl Value for Importance {
    const EXPECTED: &'static str = "low, normal, high, critical or a number up to 255";

    fn read(text: &str) -> Option<Importance> {
        wire::Importance::try_from(text).ok().map(|importance| importance.0)
    }
}

impl Value for CutOffPolicy {
    const EXPECTED: &'static str = "refuse, or serve:TIME such as serve:30s";

    fn read(text: &str) -> Option<CutOffPolicy> {
        if text == "refuse" {
            return Some(CutOffPolicy::Refuse);
        }
        text.strip_prefix("serve:").and_then(parse_duration).map(CutOffPolicy::Serve)
    }
}

impl Value for CompactString {
    const EXPECTED: &'static str = "a text";

    fn read(text: &str) -> Option<CompactString> {
        Some(text.into())
    }
}

/// A list of names, or `all`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Names(pub Vec<CompactString>);

impl Value for Names {
    const EXPECTED: &'static str = "names with commas between them, or all";

    fn read(text: &str) -> Option<Names> {
        if text == "all" {
            return Some(Names::default());
        }
        Some(Names(text.split(',').map(CompactString::from).collect()))
    }
}

/// Services with their weights.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Parts(pub Vec<Part>);

impl Value for Parts {
    const EXPECTED: &'static str = "a service, or services with weights such as old:90,new:10";

    fn read(text: &str) -> Option<Parts> {
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

/// A value, or `none` or `any`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct NoneOr<T>(pub Option<T>);

impl<T: Value> Value for NoneOr<T> {
    const EXPECTED: &'static str = T::EXPECTED;

    fn read(text: &str) -> Option<NoneOr<T>> {
        if text == "none" || text == "any" {
            return Some(NoneOr(None));
        }
        T::read(text).map(|value| NoneOr(Some(value)))
    }
}

/// A name, or `any`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AnyOr(pub Option<CompactString>);

impl Value for AnyOr {
    const EXPECTED: &'static str = "a name, or any";

    fn read(text: &str) -> Option<AnyOr> {
        Some(AnyOr((text != "any").then(|| text.into())))
    }
}

/// The assignments for one row.
#[derive(Debug)]
pub struct Assignments {
    row: CompactString,
    values: Vec<(CompactString, CompactString)>,
    known: Vec<&'static str>,
}

impl Assignments {
    /// Parses assignments for the row of this path.
    pub fn parse(row: CompactString, texts: &[String]) -> Result<Assignments, Error> {
        let mut values = Vec::new();
        for text in texts {
            let Some((key, value)) = text.split_once('=') else {
                return Err(Error::Form(text.into()));
            };
            values.push((key.into(), value.into()));
        }
        Ok(Assignments { row, values, known: Vec::new() })
    }

    /// The value of a key, or what it is at present.
    pub fn value<T: Value>(&mut self, key: &'static str, present: T) -> Result<T, Error> {
        Ok(self.optional(key)?.unwrap_or(present))
    }

    /// The value of a key that has to be set unless it is set at present.
    pub fn required<T: Value>(
        &mut self,
        key: &'static str,
        present: Option<T>,
    ) -> Result<T, Error> {
        let missing = Error::Missing { row: self.row.clone(), key, expected: T::EXPECTED };
        self.optional(key)?.or(present).ok_or(missing)
    }

    fn optional<T: Value>(&mut self, key: &'static str) -> Result<Option<T>, Error> {
        self.known.push(key);
        let Some(index) = self.values.iter().position(|(found, _)| found == key) else {
            return Ok(None);
        };
        let (_, value) = self.values.remove(index);
        match T::read(&value) {
            Some(value) => Ok(Some(value)),
            None => {
                Err(Error::Malformed { row: self.row.clone(), key, value, expected: T::EXPECTED })
            }
        }
    }

    /// Checks that every assignment was used.
    pub fn finish(self) -> Result<(), Error> {
        match self.values.into_iter().next() {
            None => Ok(()),
            Some((key, value)) => Err(Error::Unknown {
                row: self.row,
                key,
                value,
                known: self.known.join(", ").into(),
            }),
        }
    }
}
