//! skylarkshed-peer.
