//! Formats log entries as lines.

use std::{fmt::Write as _, time::SystemTime};

use humantime::format_rfc3339_millis;
use mustardpin_world::log::{Entry, Level, Value};
use serde::ser::{Serialize, SerializeMap as _, Serializer};

use crate::log::Format;

/// Formats an entry as a line without line end.
pub(super) fn format_line(format: Format, entry: &Entry, at: SystemTime) -> String {
    match format {
        Format::Json => {
            // Serialising texts and numbers does not fail.
            serde_json::to_string(&Json { entry, at }).unwrap_or_default()
        }
        Format::Text => {
            let mut line = String::new();
            let time = format_rfc3339_millis(at);
            // Writing to a string does not fail.
            let _ = write!(line, "{time} {} {entry}", level_name(entry.level));
            line
        }
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    }
}

/// Serialises an entry as a JSON object.
struct Json<'a> {
    entry: &'a Entry,
    at: SystemTime,
}

impl Serialize for Json<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Json { entry, at } = self;
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("time", &format_args!("{}", format_rfc3339_millis(*at)))?;
        map.serialize_entry("level", level_name(entry.level))?;
        map.serialize_entry("event", entry.event)?;
        if let Some(request) = &entry.request {
            map.serialize_entry("request", request)?;
        }
        for (key, value) in &entry.fields {
            match value {
                Value::Number(number) => map.serialize_entry(key, number)?,
                Value::Flag(flag) => map.serialize_entry(key, flag)?,
                Value::Name(name) => map.serialize_entry(key, name)?,
                Value::Text(text) => map.serialize_entry(key, text)?,
            }
        }
        map.end()
    }
}
