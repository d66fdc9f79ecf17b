//! A YAML document, flattened into dotted keys with their values.

use std::{collections::BTreeMap, fmt};

use compact_str::{CompactString, ToCompactString as _, format_compact};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};

/// The key under which a document is reported whose root is not a mapping.
const ROOT_KEY: &str = "(the whole file)";

/// A YAML node whose scalars are not parsed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Node {
    /// No value, or `null`.
    Null,
    /// A number, a boolean or a string, as text.
    Scalar(CompactString),
    /// A list of nodes.
    Sequence(Vec<Node>),
    /// Keys and their values, in the order of the document.
    Mapping(Vec<(CompactString, Node)>),
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Node::Null => f.write_str("null"),
            Node::Scalar(text) => f.write_str(text),
            Node::Sequence(nodes) => write!(f, "a list of {}", nodes.len()),
            Node::Mapping(entries) => write!(f, "a section with {} keys", entries.len()),
        }
    }
}

/// The scalars and lists of a document by their dotted keys. Nulls are left out.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Document {
    values: BTreeMap<CompactString, Node>,
}

impl Document {
    /// Parses YAML. An empty text gives an empty document.
    ///
    /// ```
    /// use mustardpin_settings::document::{Document, Node};
    ///
    /// let mut document = Document::parse("log:\n  level: info\n").unwrap();
    /// assert_eq!(document.take("log.level"), Some(Node::Scalar("info".into())));
    /// assert_eq!(document.take("log.level"), None);
    /// ```
    pub fn parse(yaml: &str) -> Result<Document, Box<serde_saphyr::Error>> {
        let root = if yaml.trim().is_empty() {
            Node::Null
        } else {
            serde_saphyr::from_str::<Node>(yaml).map_err(Box::new)?
        };
        let mut document = Document::default();
        let key = if matches!(root, Node::Mapping(_)) { "" } else { ROOT_KEY };
        document.flatten(key, root);
        Ok(document)
    }

    /// Removes a dotted key and returns its value.
    ///
    /// ```
    /// use mustardpin_settings::document::Document;
    /// assert_eq!(Document::default().take("service"), None);
    /// ```
    pub fn take(&mut self, key: &str) -> Option<Node> {
        self.values.remove(key)
    }

    /// The dotted keys that have not been taken, with their values.
    ///
    /// ```
    /// let document = mustardpin_settings::document::Document::parse("a: {b: 1}").unwrap();
    /// assert_eq!(document.remaining().next().unwrap().0, "a.b");
    /// ```
    pub fn remaining(&self) -> impl Iterator<Item = (&CompactString, &Node)> {
        self.values.iter()
    }

    fn flatten(&mut self, key: &str, node: Node) {
        match node {
            Node::Mapping(entries) => {
                for (name, node) in entries {
                    let key = if key.is_empty() { name } else { format_compact!("{key}.{name}") };
                    self.flatten(&key, node);
                }
            }
            Node::Null => {}
            node => {
                self.values.insert(key.to_compact_string(), node);
            }
        }
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value, a list or a section")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_compact_string()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_compact_string()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_compact_string()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.to_compact_string()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.into()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Node, A::Error> {
        let mut nodes = Vec::new();
        while let Some(node) = sequence.next_element()? {
            nodes.push(node);
        }
        Ok(Node::Sequence(nodes))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut entries = Vec::new();
        while let Some((name, node)) = map.next_entry::<CompactString, Node>()? {
            entries.push((name, node));
        }
        Ok(Node::Mapping(entries))
    }
}
