//! Arguments and configuration access that the operator commands share.

use compact_str::CompactString;
use lexopt::{Arg, Parser, ValueExt as _};
use mustardpin_wire::{admin::Configuration, config as wire};
use mustardpin_world::config::{Path, Row};

use crate::{
    access::Access,
    client::{Change, Client},
    error::Error,
};

/// Help text of the options that every change takes.
pub const HELP: &str = "\
Changes:
  --expected REVISION     the revision you have seen; without it, the one the node is at
  --change-id ID          the id of a change whose answer was lost, to settle it";

/// The arguments of an operator command.
#[derive(Debug, Default)]
pub struct Arguments {
    /// Access to the administration API.
    pub access: Access,
    /// The positional arguments, in order.
    pub positional: Vec<String>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// The reason for an exception.
    pub reason: Option<CompactString>,
    /// The id for a key to be issued.
    pub id: Option<CompactString>,
    expected: Option<u64>,
    change_id: Option<CompactString>,
}

impl Arguments {
    /// Parses the arguments; `None` after it has printed the help text for `--help`.
    pub fn parse(parser: &mut Parser, help: &str) -> Result<Option<Arguments>, Error> {
        let mut arguments = Arguments::default();
        while let Some(argument) = parser.next()? {
            let name = match argument {
                Arg::Long("help") => {
                    println!("{help}");
                    return Ok(None);
                }
                Arg::Value(argument_value) => {
                    arguments.positional.push(argument_value.string()?);
                    continue;
                }
                Arg::Long(name) => name.to_owned(),
                argument => return Err(argument.unexpected().into()),
            };
            arguments.parse_option(&name, parser)?;
        }
        Ok(Some(arguments))
    }

    fn parse_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), Error> {
        match name {
            "json" => self.json = true,
            "reason" => self.reason = Some(parser.value()?.parse()?),
            "id" => self.id = Some(parser.value()?.parse()?),
            "expected" => self.expected = Some(parser.value()?.parse()?),
            "change-id" => self.change_id = Some(parser.value()?.parse()?),
            name if self.access.parse_option(name, parser)? => {}
            name => return Err(Arg::Long(name).unexpected().into()),
        }
        Ok(())
    }

    /// The positional arguments as slices, for matching.
    pub fn positional(&self) -> Vec<&str> {
        self.positional.iter().map(String::as_str).collect()
    }
}

/// The configuration as it was read, with a client to change it.
#[derive(Debug)]
pub struct Session {
    /// Client of the administration API.
    pub client: Client,
    /// The revision that a change is based on.
    pub expected: u64,
    /// All rows, in the order of their paths.
    pub rows: Vec<Row>,
    change_id: Option<CompactString>,
}

impl Session {
    /// Reads the configuration.
    pub async fn open(arguments: Arguments) -> Result<Session, Error> {
        let client = arguments.access.client()?;
        let Configuration { revision, rows } = client.configuration().await?;
        let rows = rows.into_iter().filter_map(|row| Row::try_from(row).ok()).collect();
        Ok(Session {
            client,
            expected: arguments.expected.unwrap_or(revision),
            rows,
            change_id: arguments.change_id,
        })
    }

    /// Reads the configuration again and bases later changes on its revision.
    pub async fn refresh(&mut self) -> Result<(), Error> {
        let Configuration { revision, rows } = self.client.configuration().await?;
        self.rows = rows.into_iter().filter_map(|row| Row::try_from(row).ok()).collect();
        self.expected = revision;
        Ok(())
    }

    /// The row of this path.
    pub fn row(&self, path: &Path) -> Option<&Row> {
        self.rows.iter().find(|row| row.path() == *path)
    }

    /// Writes a row and returns the new revision.
    pub async fn write(&self, row: Row) -> Result<u64, Error> {
        self.change(Change { rows: vec![row.into()], removals: Vec::new() }).await
    }

    /// Removes the row of this path and returns the new revision.
    pub async fn remove(&self, path: Path) -> Result<u64, Error> {
        if self.row(&path).is_none() && self.change_id.is_none() {
            return Err(Error::NotFound(path.to_string().into()));
        }
        self.change(Change { rows: Vec::new(), removals: vec![wire::Path::from(path)] }).await
    }

    async fn change(&self, change: Change) -> Result<u64, Error> {
        let acceptance = self.client.change(self.change_id.clone(), self.expected, change).await?;
        Ok(acceptance.revision)
    }
}
