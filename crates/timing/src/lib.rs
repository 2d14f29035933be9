//! Expected time to first output and expected longest gap between the events of a stream, for each
//! server of a service. Performs no I/O and reads no clock.
