//! Tenant keys, derived from the configuration.

use crate::{config, id::TenantKey, table::registry::Registry};

/// The table of tenant keys, named by their ids. Withdrawn keys stay in it.
pub type Tenants = Registry<TenantKey, config::Key>;
