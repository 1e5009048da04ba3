//! Holds no code of its own: see `tests/`.
