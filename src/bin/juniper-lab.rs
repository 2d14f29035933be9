//! Entry point of the lab: emulators, experiments, campaigns and the demo.
//!
//! `juniper-lab daemon ...` is `juniperhollow ...`: the demo uses it where only
//! the lab was built, or where the other program is of an older build.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    match arguments.next() {
        Some(first) if first == juniper_lab::fleet::DAEMON_COMMAND => juniper_cli::run(arguments),
        _ => juniper_lab::main(),
    }
}
