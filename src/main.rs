//! The `mustardpin` command: the node process and the operators' commands.

mod access;
mod assignment;
mod client;
mod cmd;
mod error;
mod table;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cmd::run(lexopt::Parser::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error::print(&error);
            ExitCode::from(error.exit_code())
        }
    }
}
