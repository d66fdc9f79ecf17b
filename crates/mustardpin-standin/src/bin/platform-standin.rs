//! A stand-in for the platform's store.

use std::process::ExitCode;

use mustardpin_standin::{arguments, platform};

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let arguments = match platform::Arguments::parse(&mut lexopt::Parser::from_env()) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return arguments::report_usage_error("platform-standin", &error),
    };
    match platform::run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("platform-standin: cannot listen on {}: {error}", arguments.address);
            ExitCode::FAILURE
        }
    }
}
