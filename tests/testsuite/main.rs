//! Tests of the whole product, a module per feature.
