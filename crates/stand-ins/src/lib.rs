//! skylarkshed-stand-ins.
