//! skylarkshed-policy.
