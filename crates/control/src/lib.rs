//! The control plane on the core machines: register, members, elections, replicated records.
