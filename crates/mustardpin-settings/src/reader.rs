//! Reads typed values from a document and collects every problem.

use std::{net::SocketAddr, ops::RangeInclusive};

use compact_str::{CompactString, ToCompactString as _, format_compact};
use mustardpin_world::Millis;

use crate::{
    document::{Document, Node},
    error::Problem,
};

/// Replaces the value of a credential in error messages.
const REDACTED: &str = "(hidden)";

/// The maximum edit distance at which a known key is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 6;

/// Durations must be below this, in milliseconds. Larger numbers would not be exact in an `f64`.
const MAX_MILLIS: f64 = 1e15;

/// Reads settings one key at a time.
///
/// A key that is missing or invalid adds a problem and returns a placeholder, so that reading
/// continues and all problems are reported at once.
#[derive(Debug)]
pub struct Reader {
    document: Document,
    known: Vec<&'static str>,
    problems: Vec<Problem>,
}

impl Reader {
    /// Creates a reader of a document.
    ///
    /// ```
    /// use mustardpin_settings::{document::Document, reader::Reader};
    ///
    /// let mut reader = Reader::new(Document::parse("limits:\n  connections: 9\n").unwrap());
    /// assert_eq!(reader.count("limits.connections", 100, 1..=1_000), 9);
    /// assert!(reader.finish().is_empty());
    /// ```
    pub fn new(document: Document) -> Reader {
        Reader { document, known: Vec::new(), problems: Vec::new() }
    }

    /// Returns all problems, including one for each key of the document that was not read.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("servce: ledger").unwrap());
    /// assert!(reader.finish()[0].to_string().contains("unknown key"));
    /// ```
    pub fn finish(mut self) -> Vec<Problem> {
        for (key, value) in self.document.remaining() {
            self.problems.push(Problem::Unknown {
                key: key.clone(),
                value: redact(key, value),
                nearest: suggest_key(key, &self.known),
            });
        }
        self.problems
    }

    /// Adds a problem.
    ///
    /// ```
    /// use mustardpin_settings::{document::Document, error::Problem, reader::Reader};
    ///
    /// let mut reader = Reader::new(Document::default());
    /// reader.report(Problem::Missing { key: "service".into(), expected: "a name".into() });
    /// assert_eq!(reader.finish().len(), 1);
    /// ```
    pub fn report(&mut self, problem: Problem) {
        self.problems.push(problem);
    }

    /// Reads a required name: 1 to 64 letters, digits, hyphens or underscores.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("service: ledger").unwrap());
    /// assert_eq!(reader.name("service"), "ledger");
    /// ```
    pub fn name(&mut self, key: &'static str) -> CompactString {
        const EXPECTED: &str = "a name of 1 to 64 letters, digits, hyphens or underscores";
        let Some(text) = self.required(key, EXPECTED) else { return CompactString::default() };
        if !is_name(&text) {
            self.report_malformed(key, &text, EXPECTED);
        }
        text
    }

    /// Reads a required secret: 16 to 256 visible ASCII characters.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("fleet-credential: 0123456789abcdef").unwrap());
    /// assert_eq!(reader.secret("fleet-credential").len(), 16);
    /// ```
    pub fn secret(&mut self, key: &'static str) -> CompactString {
        const EXPECTED: &str = "a secret of 16 to 256 visible characters";
        let Some(text) = self.required(key, EXPECTED) else { return CompactString::default() };
        let visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !visible || !(16..=256).contains(&text.len()) {
            self.report_malformed(key, REDACTED, EXPECTED);
        }
        text
    }

    /// Reads a required IP address with a port other than 0.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("admin: 127.0.0.1:7004").unwrap());
    /// assert_eq!(reader.address("admin").port(), 7004);
    /// ```
    pub fn address(&mut self, key: &'static str) -> SocketAddr {
        const EXPECTED: &str = "an address such as 127.0.0.1:7000";
        let Some(text) = self.required(key, EXPECTED) else { return unspecified() };
        self.parse_address(key, &text)
    }

    /// Reads an optional IP address with a port other than 0.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("admin: 127.0.0.1:7004").unwrap());
    /// assert_eq!(reader.optional_address("statsd"), None);
    /// ```
    pub fn optional_address(&mut self, key: &'static str) -> Option<SocketAddr> {
        let text = self.optional(key, "an address such as 127.0.0.1:7000")?;
        Some(self.parse_address(key, &text))
    }

    /// Reads a list of addresses; empty if the key is not set.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("seeds: [127.0.0.1:7002]").unwrap());
    /// assert_eq!(reader.addresses("seeds").len(), 1);
    /// ```
    pub fn addresses(&mut self, key: &'static str) -> Vec<SocketAddr> {
        const EXPECTED: &str = "a list of addresses such as [127.0.0.1:7000]";
        let nodes = match self.take(key) {
            None => return Vec::new(),
            Some(Node::Sequence(nodes)) => nodes,
            Some(node) => {
                self.report_malformed(key, &node.to_compact_string(), EXPECTED);
                return Vec::new();
            }
        };
        let parse = |node: &Node| match node {
            Node::Scalar(text) => self.parse_address(key, text),
            node => {
                self.report_malformed(key, &node.to_compact_string(), EXPECTED);
                unspecified()
            }
        };
        nodes.iter().map(parse).collect()
    }

    /// Reads one of several words and returns the value paired with it. The first is the default.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("format: text").unwrap());
    /// assert!(!reader.choice("format", &[("json", true), ("text", false)]));
    /// ```
    pub fn choice<T: Copy>(&mut self, key: &'static str, choices: &[(&str, T)]) -> T {
        let words: Vec<_> = choices.iter().map(|(word, _)| *word).collect();
        let expected = format!("one of {}", words.join(", "));
        let Some(text) = self.optional(key, &expected) else { return choices[0].1 };
        if let Some((_, value)) = choices.iter().find(|(word, _)| *word == text) {
            return *value;
        }
        self.report_malformed(key, &text, &expected);
        choices[0].1
    }

    /// Reads a whole number without a unit.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("connections: 9").unwrap());
    /// assert_eq!(reader.count("connections", 100, 1..=1_000), 9);
    /// ```
    pub fn count(&mut self, key: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        const EXPECTED: &str = "a whole number such as 64";
        let Some(text) = self.optional(key, EXPECTED) else { return default };
        match text.parse() {
            Ok(number) => self.check_range(key, number, &text, range, "", default),
            Err(_) => {
                self.report_malformed(key, &text, EXPECTED);
                default
            }
        }
    }

    /// Reads `true` or `false`.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// let mut reader = Reader::new(Document::parse("strict: false").unwrap());
    /// assert!(!reader.flag("strict", true));
    /// ```
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        const EXPECTED: &str = "true or false";
        let Some(text) = self.optional(key, EXPECTED) else { return default };
        match text.parse() {
            Ok(flag) => flag,
            Err(_) => {
                self.report_malformed(key, &text, EXPECTED);
                default
            }
        }
    }

    /// Reads an optional decimal number.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// let mut reader = Reader::new(Document::parse("ratio: 0.2").unwrap());
    /// assert_eq!(reader.optional_fraction("ratio", 0.0..=1.0), Some(0.2));
    /// ```
    pub fn optional_fraction(
        &mut self,
        key: &'static str,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        const EXPECTED: &str = "a number such as 0.2";
        let text = self.optional(key, EXPECTED)?;
        let Ok(number) = text.parse::<f64>() else {
            self.report_malformed(key, &text, EXPECTED);
            return None;
        };
        if !range.contains(&number) {
            self.report(Problem::OutOfRange {
                key: key.into(),
                value: text,
                least: range.start().to_compact_string(),
                most: range.end().to_compact_string(),
            });
            return None;
        }
        Some(number)
    }

    /// Reads a size such as `64KiB`. The result is in bytes.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("body: 2KiB").unwrap());
    /// assert_eq!(reader.size("body", 0, 0..=4_096), 2_048);
    /// ```
    pub fn size(&mut self, key: &'static str, default: u64, range: RangeInclusive<u64>) -> u64 {
        const EXPECTED: &str = "a size such as 512B, 64KiB or 8MiB";
        let Some(text) = self.optional(key, EXPECTED) else { return default };
        match parse_size(&text) {
            Some(bytes) => self.check_range(key, bytes, &text, range, "B", default),
            None => {
                self.report_malformed(key, &text, EXPECTED);
                default
            }
        }
    }

    /// Reads a duration such as `500ms`.
    ///
    /// ```
    /// # use mustardpin_settings::{document::Document, reader::Reader};
    /// # use mustardpin_world::Millis;
    /// let mut reader = Reader::new(Document::parse("window: 2s").unwrap());
    /// assert_eq!(reader.duration("window", Millis(1), Millis(1)..=Millis(5_000)), Millis(2_000));
    /// ```
    pub fn duration(
        &mut self,
        key: &'static str,
        default: Millis,
        range: RangeInclusive<Millis>,
    ) -> Millis {
        const EXPECTED: &str = "a length of time such as 500ms, 3s or 10min";
        let Some(text) = self.optional(key, EXPECTED) else { return default };
        let range = range.start().0..=range.end().0;
        match parse_duration(&text) {
            Some(duration) => {
                Millis(self.check_range(key, duration.0, &text, range, "ms", default.0))
            }
            None => {
                self.report_malformed(key, &text, EXPECTED);
                default
            }
        }
    }

    fn take(&mut self, key: &'static str) -> Option<Node> {
        self.known.push(key);
        self.document.take(key)
    }

    fn optional(&mut self, key: &'static str, expected: &str) -> Option<CompactString> {
        match self.take(key)? {
            Node::Scalar(text) => Some(text),
            node => {
                self.report_malformed(key, &node.to_compact_string(), expected);
                None
            }
        }
    }

    fn required(&mut self, key: &'static str, expected: &str) -> Option<CompactString> {
        let problems_before = self.problems.len();
        let text = self.optional(key, expected);
        if text.is_none() && self.problems.len() == problems_before {
            self.report(Problem::Missing { key: key.into(), expected: expected.into() });
        }
        text
    }

    fn report_malformed(&mut self, key: &str, value: &str, expected: &str) {
        self.report(Problem::Malformed {
            key: key.into(),
            value: value.into(),
            expected: expected.into(),
        });
    }

    fn check_range(
        &mut self,
        key: &'static str,
        number: u64,
        text: &str,
        range: RangeInclusive<u64>,
        unit: &str,
        default: u64,
    ) -> u64 {
        if range.contains(&number) {
            return number;
        }
        self.report(Problem::OutOfRange {
            key: key.into(),
            value: text.into(),
            least: format_compact!("{}{unit}", range.start()),
            most: format_compact!("{}{unit}", range.end()),
        });
        default
    }

    fn parse_address(&mut self, key: &str, text: &str) -> SocketAddr {
        match text.parse::<SocketAddr>() {
            Ok(address) if address.port() != 0 => address,
            _ => {
                self.report_malformed(key, text, "an address such as 127.0.0.1:7000");
                unspecified()
            }
        }
    }
}

/// Parses a duration with its unit: `ms`, `s` or `min`.
///
/// ```
/// use mustardpin_settings::reader::parse_duration;
/// use mustardpin_world::Millis;
///
/// assert_eq!(parse_duration("3s"), Some(Millis(3_000)));
/// assert_eq!(parse_duration("0.25s"), Some(Millis(250)));
/// assert_eq!(parse_duration("3"), None);
/// ```
pub fn parse_duration(text: &str) -> Option<Millis> {
    let end = text.find(|character: char| !character.is_ascii_digit() && character != '.')?;
    let number: f64 = text[..end].parse().ok()?;
    let factor = match text[end..].trim_start() {
        "ms" => 1.0,
        "s" => 1_000.0,
        "min" => 60_000.0,
        _ => return None,
    };
    let millis = number * factor;
    (millis.is_finite() && millis < MAX_MILLIS).then(|| Millis(millis.round() as u64))
}

/// Parses a size with its unit: `B`, `KiB` or `MiB`. The result is in bytes.
///
/// ```
/// assert_eq!(mustardpin_settings::reader::parse_size("64KiB"), Some(65_536));
/// ```
pub fn parse_size(text: &str) -> Option<u64> {
    let (digits, unit) = split_unit(text)?;
    let factor = match unit {
        "B" => 1,
        "KiB" => 1 << 10,
        "MiB" => 1 << 20,
        _ => return None,
    };
    digits.checked_mul(factor)
}

/// Whether a text is a valid name of a data centre, service, team, route, key or exception.
///
/// ```
/// assert!(mustardpin_settings::reader::is_name("slot-search"));
/// assert!(!mustardpin_settings::reader::is_name("slot search"));
/// ```
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}

fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|character: char| !character.is_ascii_digit())?;
    let digits = text[..end].parse().ok()?;
    Some((digits, text[end..].trim_start()))
}

fn unspecified() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// The value as error messages show it. A value whose key names a credential may be a secret and is
/// hidden.
fn redact(key: &str, value: &Node) -> CompactString {
    if key.contains("credential") { REDACTED.into() } else { value.to_compact_string() }
}

fn suggest_key(key: &str, known: &[&'static str]) -> Option<CompactString> {
    known
        .iter()
        .map(|known| (strsim::damerau_levenshtein(key, known), *known))
        .filter(|(distance, _)| *distance <= MAX_SUGGESTION_DISTANCE)
        .min()
        .map(|(_, known)| known.into())
}
