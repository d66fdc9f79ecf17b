//! Several worlds driven in one thread over virtual time.
