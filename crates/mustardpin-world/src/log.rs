//! Log entries: decisions and state changes of the world, with the inputs that led to them.

use compact_str::{CompactString, ToCompactString};
use derive_more::{Display, From};

use crate::{clock::Millis, hash, id::NodeId};

/// The severity of an entry. Decides which entries are kept when not all can be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// An ordinary decision on a request, or a change of the node's state.
    Info,
    /// A request that was refused or failed, or a dependency that was lost.
    Warn,
    /// A fault of the node itself.
    Error,
}

/// The value of a field.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Display, From)]
pub enum Value {
    /// A number.
    Number(u64),
    /// A boolean.
    Flag(bool),
    /// One of a fixed set of names.
    Name(&'static str),
    /// Text.
    Text(CompactString),
}

impl From<u32> for Value {
    fn from(number: u32) -> Value {
        Value::Number(number.into())
    }
}

impl From<usize> for Value {
    fn from(number: usize) -> Value {
        Value::Number(number as u64)
    }
}

impl From<Millis> for Value {
    fn from(length: Millis) -> Value {
        Value::Number(length.0)
    }
}

impl From<NodeId> for Value {
    fn from(node: NodeId) -> Value {
        Value::Text(node.to_compact_string())
    }
}

/// Most entries have no more fields than this, so it is the initial capacity.
const TYPICAL_FIELD_COUNT: usize = 8;

/// A log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The severity.
    pub level: Level,
    /// The name of the event.
    pub event: &'static str,
    /// The id of the request that it is about, if any.
    pub request: Option<CompactString>,
    /// The inputs of the decision and its outcome, by name. Lengths of time are in milliseconds.
    pub fields: Vec<(&'static str, Value)>,
}

impl Entry {
    /// An entry without fields.
    ///
    /// ```
    /// use mustardpin_world::log::{Entry, Level};
    ///
    /// let entry = Entry::new(Level::Info, "peer_up").with("peer", "north-1".to_owned());
    /// assert_eq!(entry.to_string(), "peer_up peer=north-1");
    /// ```
    pub fn new(level: Level, event: &'static str) -> Entry {
        Entry { level, event, request: None, fields: Vec::with_capacity(TYPICAL_FIELD_COUNT) }
    }

    /// Sets the request that the entry is about.
    #[must_use]
    pub fn on(mut self, request: &CompactString) -> Entry {
        self.request = Some(request.clone());
        self
    }

    /// Adds a field.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: impl Into<Value>) -> Entry {
        self.fields.push((name, value.into()));
        self
    }
}

impl From<String> for Value {
    fn from(text: String) -> Value {
        Value::Text(text.into())
    }
}

impl std::fmt::Display for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.event)?;
        if let Some(request) = &self.request {
            write!(f, " request={request}")?;
        }
        self.fields.iter().try_for_each(|(name, value)| write!(f, " {name}={value}"))
    }
}

/// Whether ordinary decisions on a request are logged: those of one request in `one_in`, or none
/// if it is zero. The choice depends only on the id, so a request is logged on all nodes that
/// handle it or on none.
///
/// ```
/// use mustardpin_world::log::is_sampled;
/// assert!(is_sampled("9c41d07be2a35f68", 1) && !is_sampled("9c41d07be2a35f68", 0));
/// ```
pub fn is_sampled(id: &str, one_in: u32) -> bool {
    one_in > 0 && hash::of_bytes(id.as_bytes()).is_multiple_of(u64::from(one_in))
}
