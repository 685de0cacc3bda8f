//! skylarkshed-upstream.
