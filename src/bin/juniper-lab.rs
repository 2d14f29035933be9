//! Entry point of the lab: emulators, experiments, campaigns and the demo.
//!
//! `juniper-lab daemon ...` runs `juniperhollow ...` with the code of this build, so that the demo
//! doesn't depend on a separately built `juniperhollow` that may be missing or outdated.

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    match arguments.next() {
        Some(first) if first == juniper_lab::fleet::DAEMON_COMMAND => juniper_cli::run(arguments),
        _ => juniper_lab::main(),
    }
}
