//! The juniperhollow command line: daemons and operator commands.

pub mod arguments;
pub mod check;
pub mod client;
pub mod daemon;
pub mod explain;
pub mod logging;
pub mod operator;
pub mod output;
pub mod recover;

use std::ffi::OsString;
use std::process::ExitCode;

use arguments::ArgumentError;

const HELP: &str = "\
Usage: juniperhollow COMMAND [OPTIONS]

Daemons:
  control --settings FILE     run one replica of the durable state
  router --settings FILE      run a router
  found --settings FILE       make a new cluster on one control replica, once
                              for a deployment; the other replicas join it

Checks:
  settings check FILE         check a node file, or a change (*.json) upon an empty
                              tree or '--upon FILE'; list every fault
  key hash                    read a key on standard input, print its hash

Operator commands (against the operator address of a control replica):
  tree get [PATH]             print the tree, or the node at PATH
  tree effective PATH         print the values in force at PATH
  tree apply FILE             submit a change (JSON: base_revision, change_id, edits)
  tree diff FROM TO           print what changed between two revisions
  tree history                list the latest accepted changes
  tree rollback REVISION      make an earlier tree the newest revision
  status                      role, term, leader and members of a control replica
  nodes                       status of every node with the revision in force
  drain ENGINE                give a back end no new work ('--undo' takes it back)

Recovery (on data folders, while every control replica is stopped):
  recover --folder DIR        plan the way out of a lost quorum and change nothing;
                              repeat --folder for every data folder that is left.
                              '--apply' makes the latest the only voter

Looking into a failure:
  explain REQUEST FILE...     print the story of one request from the logs of any
                              number of processes; '-' reads standard input

On the platform the daemons are run by juniperhollow-platform ('--help' tells its
roles, router and control).

Options of operator commands:
  --control URL               e.g. http://127.0.0.1:7101; repeat for more replicas
  --operator-key-file FILE    file with the operators' key
  --format text|json          default text

Exit codes: 0 success, 1 failure, 2 usage, 3 conflict with a newer revision,
4 the change or file has faults.
";

/// Exit code of a write that lost against a newer revision.
pub const EXIT_CONFLICT: u8 = 3;

/// Exit code of a file or change with faults.
pub const EXIT_FAULTS: u8 = 4;

/// Runs the program and returns its exit code.
pub fn main() -> ExitCode {
    run(std::env::args_os().skip(1))
}

/// Runs the program with `arguments`, its own name left out, and returns its exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments: Vec<OsString> = arguments.into_iter().collect();
    let mut parser = lexopt::Parser::from_args(arguments);
    match dispatch(&mut parser) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            exit_code_of(&report)
        }
    }
}

fn exit_code_of(report: &miette::Report) -> ExitCode {
    if report.downcast_ref::<ArgumentError>().is_some() {
        return ExitCode::from(2);
    }
    match report.downcast_ref::<client::ClientError>() {
        Some(client::ClientError::Answer { status: 409, .. }) => ExitCode::from(EXIT_CONFLICT),
        Some(client::ClientError::Answer { status: 422, .. }) => ExitCode::from(EXIT_FAULTS),
        _ => ExitCode::FAILURE,
    }
}

fn dispatch(parser: &mut lexopt::Parser) -> miette::Result<ExitCode> {
    let Some(command) = arguments::next_word(parser)? else {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    };
    match command.as_str() {
        "control" => daemon::control(parser),
        "router" => daemon::router(parser),
        "settings" => check::settings(parser),
        "key" => daemon::hash_key(parser),
        "tree" => operator::tree(parser),
        "found" => daemon::found(parser),
        "status" => operator::status(parser),
        "nodes" => operator::nodes(parser),
        "drain" => operator::drain(parser),
        "recover" => recover::recover(parser),
        "explain" => explain::explain(parser),
        _ => Err(ArgumentError::UnknownCommand(command).into()),
    }
}
