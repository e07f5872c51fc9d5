//! The clients' gateway: requests passed on to the scheduler, and back.
