//! skylarkshed-testsuite.
