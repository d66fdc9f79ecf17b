//! A stand-in for a target.

use std::process::ExitCode;

use mustardpin_standin::{
    arguments,
    target::{self, arguments::Arguments},
};

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    let arguments = match Arguments::parse(&mut lexopt::Parser::from_env()) {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => return arguments::report_usage_error("target-standin", &error),
    };
    let address = arguments.address;
    match target::run(arguments).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("target-standin: cannot listen on {address}: {error}");
            ExitCode::FAILURE
        }
    }
}
