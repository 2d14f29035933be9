//! Help texts and suggestions for mistyped commands and options.

use juniper_cli::arguments::ArgumentError;
use juniper_cli::commands::{
    COMMANDS, closest_command, closest_option, find_command, general_help,
};

fn words(text: &str) -> Vec<String> {
    text.split(' ').map(str::to_owned).collect()
}

#[test]
fn general_help_lists_every_command_and_each_command_has_help() {
    let general = general_help();
    for command in COMMANDS {
        assert!(general.contains(command.summary), "{}", command.words);
        let found = find_command(&words(command.words)).expect("command is found by its words");
        assert_eq!(found.words, command.words);
        let help = found.help();
        for needed in ["Usage: juniperhollow ", "Example:", "Exit codes:", command.summary] {
            assert!(help.contains(needed), "{}: {needed}", command.words);
        }
        assert!(command.example.starts_with(&format!("juniperhollow {}", command.words)));
    }
}

#[test]
fn suggestions_are_made_only_within_the_edit_distance() {
    assert_eq!(closest_command("statsu"), Some("status"));
    assert_eq!(closest_command("tree histroy"), Some("tree history"));
    assert_eq!(closest_command("setings"), Some("settings"));
    assert_eq!(closest_command("frobnicate"), None);
    assert_eq!(closest_option("--contrl"), Some("--control"));
    assert_eq!(closest_option("--verbose"), None);
    let error = ArgumentError::unknown_command("rooter");
    let advice = miette::Diagnostic::help(&error).expect("advice").to_string();
    assert!(advice.contains("'router'"), "{advice}");
}

#[test]
fn help_is_printed_without_running_the_command() {
    for given in [&["control", "--help"][..], &["key", "hash", "--help"], &["tree", "-h"]] {
        let code = juniper_cli::run(given.iter().map(std::ffi::OsString::from));
        assert_eq!(code, std::process::ExitCode::SUCCESS, "{given:?}");
    }
}
