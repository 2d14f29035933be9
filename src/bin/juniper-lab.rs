//! Entry point of the lab: emulators, experiments, campaigns and the demo.

use std::process::ExitCode;

fn main() -> ExitCode {
    juniper_lab::main()
}
