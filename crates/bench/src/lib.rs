//! skylarkshed-bench.
