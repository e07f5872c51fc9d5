//! Jobs, their runs, and their placement on runners.
