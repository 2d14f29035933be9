//! Every command tells its own help, and a near miss names what was meant.

use juniper_cli::arguments::ArgumentError;
use juniper_cli::commands::{COMMANDS, find, general_help, nearest, nearest_option};

fn words(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

#[test]
fn the_general_help_lists_every_command_and_each_has_its_own() {
    let general = general_help();
    for command in COMMANDS {
        assert!(general.contains(command.summary), "{}", command.words);
        let found = find(&words(command.words)).expect("it is found by its words");
        assert_eq!(found.words, command.words);
        let help = found.help();
        for needed in ["Usage: juniperhollow ", "Example:", "Exit codes:", command.summary] {
            assert!(help.contains(needed), "{}: {needed}", command.words);
        }
        assert!(command.example.starts_with(&format!("juniperhollow {}", command.words)));
    }
}

#[test]
fn a_near_miss_names_what_was_meant_and_anything_else_names_nothing() {
    assert_eq!(nearest("statsu"), Some("status"));
    assert_eq!(nearest("tree histroy"), Some("tree history"));
    assert_eq!(nearest("setings"), Some("settings"));
    assert_eq!(nearest("frobnicate"), None);
    assert_eq!(nearest_option("--contrl"), Some("--control"));
    assert_eq!(nearest_option("--verbose"), None);
    let error = ArgumentError::unknown_command("rooter");
    let advice = miette::Diagnostic::help(&error).expect("advice").to_string();
    assert!(advice.contains("'router'"), "{advice}");
}

#[test]
fn help_is_no_invalid_option_and_hashes_nothing() {
    for given in [&["control", "--help"][..], &["key", "hash", "--help"], &["tree", "-h"]] {
        let code = juniper_cli::run(given.iter().map(std::ffi::OsString::from));
        assert_eq!(code, std::process::ExitCode::SUCCESS, "{given:?}");
    }
}
