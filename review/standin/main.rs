//! Stand-ins for clients, servers and the platform. Usage: `standin CASE RECORD TROUBLE`;
//! TROUBLE 0 leaves out the disruption.

mod engine;
mod harness;
mod late_answer;
mod old_weights;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, _trouble] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD TROUBLE");
        std::process::exit(harness::NOT_RUN);
    };
    let record = match harness::Record::create(Path::new(record)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            std::process::exit(harness::NOT_RUN);
        }
    };
    let code = match case.as_str() {
        "late-answer" => late_answer::run(&record),
        "old-weights" => old_weights::run(&record),
        other => {
            eprintln!("unknown case {other}");
            harness::NOT_RUN
        }
    };
    std::process::exit(code);
}
