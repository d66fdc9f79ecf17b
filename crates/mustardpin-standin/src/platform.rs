//! A stand-in for the platform's store of rows: over HTTP, in memory.

pub mod handler;
pub mod table;

use std::{net::SocketAddr, sync::Arc};

use crate::{
    arguments::{self, Error},
    control, http,
};

const HELP: &str = "\
Stands in for the platform: its store of rows, in memory.

Usage: platform-standin --address IP:PORT

Options:
  --address IP:PORT  where it listens
  --help             this text

Changes of behaviour at run time: POST /standin/mode
  {\"mode\": \"up|down|silent|slow|error|busy|lose-answer\", \"delay-ms\": 0}
Drops the history of changes: POST /standin/compact
Copies the rows, and restores them from the copy: POST /standin/copy, POST /standin/restore
Counts of reads and writes: GET /standin/counts";

/// The command-line arguments of the platform's stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arguments {
    /// The address to listen on.
    pub address: SocketAddr,
}

impl Arguments {
    /// Parses the arguments. Returns `None` if `--help` was given, after printing the help text.
    pub fn parse(parser: &mut lexopt::Parser) -> Result<Option<Arguments>, Error> {
        let mut address = None;
        while let Some(argument) = parser.next()? {
            match argument {
                lexopt::Arg::Long("address") => address = Some(arguments::value(parser)?),
                lexopt::Arg::Long("help") => {
                    println!("{HELP}");
                    return Ok(None);
                }
                argument => return Err(argument.unexpected().into()),
            }
        }
        Ok(Some(Arguments { address: arguments::required(address, "--address")? }))
    }
}

/// Serves the store until the process ends.
pub async fn run(arguments: Arguments) -> std::io::Result<()> {
    let listener = tokio::net::TcpListener::bind(arguments.address).await?;
    let (handle, _thread) = control::start(table::Store::default());
    http::serve(listener, Arc::new(handler::Platform::new(handle))).await;
    Ok(())
}
