//! Sends load to nodes and checks every response.

use std::process::ExitCode;

use mustardpin_standin::{
    arguments,
    load::{self, arguments::Arguments},
};

#[tokio::main(worker_threads = 3)]
async fn main() -> ExitCode {
    let arguments = match Arguments::parse(&mut lexopt::Parser::from_env()) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return arguments::report_usage_error("load-generator", &error),
    };
    let report = load::run(arguments).await;
    print!("{report}");
    if report.broken_promises().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
