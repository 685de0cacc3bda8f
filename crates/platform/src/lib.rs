//! skylarkshed-platform.
