//! Engines, stores and servers that the router is met with in the lab.
