//! `mustardpin node`: runs the node process.

use std::time::Duration;

use lexopt::Parser;
use mustardpin_node::{
    Launch,
    launch::{Addresses, Limits},
    log,
};
use mustardpin_settings::{
    Settings,
    settings::{self, Format, Level},
};
use mustardpin_world::{Millis, id::KeyDigest};

use crate::{cmd::settings_file, error::Error};

const HELP: &str = "\
Runs the node process in a target's slot until SIGTERM or SIGINT, then finishes every request in
progress and exits.

Usage: mustardpin node --settings FILE

Exit codes: 0 stopped after finishing its requests; 1 failed; 2 wrong settings.";

/// Runs the command.
pub fn run(parser: Parser) -> Result<(), Error> {
    let Some(file) = settings_file(parser, HELP)? else { return Ok(()) };
    let settings = Settings::load(&file)?;
    mustardpin_node::run(launch(settings))?;
    Ok(())
}

/// What the settings mean for the node.
fn launch(settings: Settings) -> Launch {
    Launch {
        data_centre: settings.data_centre,
        service: settings.service,
        addresses: addresses(settings.addresses),
        fleet_credential: KeyDigest::of(&settings.credentials.fleet),
        operator_credential: KeyDigest::of(&settings.credentials.operator),
        platform: settings.platform.address,
        platform_timeout: duration(settings.platform.timeout),
        seeds: settings.seeds,
        log: log_options(settings.log),
        statsd: settings.statsd,
        limits: limits(settings.limits),
        options: settings.options,
    }
}

fn addresses(addresses: settings::Addresses) -> Addresses {
    let settings::Addresses { callers, local, control, traffic, admin } = addresses;
    Addresses { callers, local, control, traffic, admin }
}

fn log_options(log: settings::Log) -> log::Options {
    let format = match log.format {
        Format::Json => log::Format::Json,
        Format::Text => log::Format::Text,
    };
    let level = match log.level {
        Level::Debug => spdlog::Level::Debug,
        Level::Info => spdlog::Level::Info,
        Level::Warn => spdlog::Level::Warn,
        Level::Error => spdlog::Level::Error,
    };
    log::Options { format, level }
}

fn limits(limits: settings::Limits) -> Limits {
    Limits {
        connections: limits.connections,
        requests: limits.requests,
        header_size: limits.header_size,
        body_size: limits.body_size,
        replay_size: limits.replay_size,
        kept_size: limits.kept_size,
        record_size: limits.record_size,
        header_timeout: duration(limits.header_timeout),
        body_timeout: duration(limits.body_timeout),
        idle_timeout: duration(limits.idle_timeout),
        announce_timeout: limits.announce_timeout,
        close_linger: duration(limits.close_linger),
        exit_grace: duration(limits.exit_grace),
        traffic_threads: limits.traffic_threads,
    }
}

fn duration(length: Millis) -> Duration {
    Duration::from_millis(length.0)
}
