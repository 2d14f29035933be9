//! Decides which requests are admitted while servers are overloaded. Performs no I/O and reads no
//! clock.
