//! Settings of one node, read from YAML and checked in full before anything starts.
