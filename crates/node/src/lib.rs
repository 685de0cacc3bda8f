//! skylarkshed-node.
