//! Entry point of the daemons and operator commands.

use std::process::ExitCode;

fn main() -> ExitCode {
    juniper_cli::main()
}
