//! Teams, derived from the configuration.

use crate::{config, id::TeamKey, table::registry::Registry};

/// The table of teams.
pub type Teams = Registry<TeamKey, config::Team>;
