//! Wire types between processes, with conversions from and to the world's types.
