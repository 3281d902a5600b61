//! Ways in. A front parses and frames, no more.

pub mod http1;
