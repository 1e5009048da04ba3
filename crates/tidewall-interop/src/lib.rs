//! This package contains only the tests in `tests/`.
