//! The relay tree that brings configurations to every process.
