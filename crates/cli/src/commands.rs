//! Table of commands, from which the general help and each command's help are generated.

/// Command with its help texts.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// Command words, such as `tree get`.
    pub words: &'static str,
    /// Heading in the general help.
    pub group: Group,
    /// Argument synopsis, printed after the words.
    pub arguments: &'static str,
    /// Description in one line.
    pub summary: &'static str,
    /// Description of the options, one line each.
    pub options: &'static [&'static str],
    /// Example invocation.
    pub example: &'static str,
}

/// Headings of the general help, in display order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Long-running processes.
    Daemons,
    /// Offline checks that need no running cluster.
    Checks,
    /// Calls to the control replicas' operator API.
    Operator,
    /// Offline work on data folders while every control replica is stopped.
    Recovery,
    /// Log analysis.
    Logs,
}

impl Group {
    const ALL: [Group; 5] =
        [Group::Daemons, Group::Checks, Group::Operator, Group::Recovery, Group::Logs];

    fn title(self) -> &'static str {
        match self {
            Group::Daemons => "Daemons",
            Group::Checks => "Checks",
            Group::Operator => {
                "Operator commands (against the operator address of a control replica)"
            }
            Group::Recovery => "Recovery (on data folders, while every control replica is stopped)",
            Group::Logs => "Failure analysis",
        }
    }
}

const SET_OPTION: &str =
    "--set KEY=VALUE             override a value of the node file; may be repeated";

const FORMAT_OPTION: &str = "--format text|json          default text";

const NODE_FILE_OPTIONS: &[&str] =
    &["--settings FILE             the node file", SET_OPTION, FORMAT_OPTION];

const OPERATOR_OPTIONS: &[&str] = &[
    "--control URL               e.g. http://127.0.0.1:7101; repeat for more replicas",
    "--operator-key-file FILE    file with the operator key",
    FORMAT_OPTION,
];

const DRAIN_OPTIONS: &[&str] = &[
    OPERATOR_OPTIONS[0],
    OPERATOR_OPTIONS[1],
    OPERATOR_OPTIONS[2],
    "--undo                      undo the drain",
];

const fn operator(
    words: &'static str,
    arguments: &'static str,
    summary: &'static str,
    example: &'static str,
) -> Command {
    Command {
        words,
        group: Group::Operator,
        arguments,
        summary,
        options: OPERATOR_OPTIONS,
        example,
    }
}

/// All commands, in display order.
pub const COMMANDS: &[Command] = &[
    Command {
        words: "control",
        group: Group::Daemons,
        arguments: "--settings FILE",
        summary: "run one replica of the durable state",
        options: NODE_FILE_OPTIONS,
        example: "juniperhollow control --settings node.toml",
    },
    Command {
        words: "router",
        group: Group::Daemons,
        arguments: "--settings FILE",
        summary: "run a router",
        options: NODE_FILE_OPTIONS,
        example: "juniperhollow router --settings node.toml",
    },
    Command {
        words: "found",
        group: Group::Daemons,
        arguments: "--settings FILE",
        summary: "create a new cluster on one control replica, once per deployment; the others join it",
        options: NODE_FILE_OPTIONS,
        example: "juniperhollow found --settings node.toml",
    },
    Command {
        words: "settings check",
        group: Group::Checks,
        arguments: "FILE [--upon FILE]",
        summary: "check a node file, or a change (*.json) against an empty or a given tree; list every fault",
        options: &[
            "--upon FILE                 the tree that the change is checked against",
            SET_OPTION,
            FORMAT_OPTION,
        ],
        example: "juniperhollow settings check change.json --upon tree.json",
    },
    Command {
        words: "key hash",
        group: Group::Checks,
        arguments: "",
        summary: "read a key from standard input and print its hash",
        options: &[],
        example: "juniperhollow key hash < key-file",
    },
    operator(
        "tree get",
        "[PATH]",
        "print the tree, or the node at PATH",
        "juniperhollow tree get /hartford --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "tree effective",
        "PATH",
        "print the effective values at PATH",
        "juniperhollow tree effective /hartford --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "tree apply",
        "FILE",
        "submit a change (JSON: base_revision, change_id, edits)",
        "juniperhollow tree apply change.json --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "tree diff",
        "FROM TO",
        "print what changed between two revisions",
        "juniperhollow tree diff 4 7 --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "tree history",
        "",
        "list the latest accepted changes",
        "juniperhollow tree history --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "tree rollback",
        "REVISION",
        "restore an earlier tree as a new revision",
        "juniperhollow tree rollback 4 --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "status",
        "",
        "print role, term, leader and members of a control replica",
        "juniperhollow status --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "nodes",
        "",
        "print the status of every node with the revision in force",
        "juniperhollow nodes --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "quarantine list",
        "",
        "list requests that are sent to no server because they crashed servers",
        "juniperhollow quarantine list --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "quarantine release",
        "FINGERPRINT",
        "allow a quarantined request again, once the servers are fixed",
        "juniperhollow quarantine release 00112233445566778899aabbccddeeff \
         --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    Command {
        options: DRAIN_OPTIONS,
        ..operator(
            "drain",
            "ENGINE [--undo]",
            "send a back end no new work ('--undo' reverses it)",
            "juniperhollow drain 7 --control http://127.0.0.1:7101 --operator-key-file key",
        )
    },
    Command {
        words: "recover",
        group: Group::Recovery,
        arguments: "--folder DIR... [--apply]",
        summary: "plan the recovery from a lost quorum, or apply it with --apply",
        options: &[
            "--folder DIR                a data folder; repeat it for each one that is left",
            "--apply                     make the replica with the latest data the only voter",
            FORMAT_OPTION,
        ],
        example: "juniperhollow recover --folder data-1 --folder data-3",
    },
    Command {
        words: "explain",
        group: Group::Logs,
        arguments: "REQUEST FILE...",
        summary: "print the timeline of one request from the logs of any number of processes",
        options: &["-                           as a FILE: standard input"],
        example: "juniperhollow explain 9c41d07be2a35f68 router.log control.log",
    },
];

const EXIT_CODES: &str = "\
Exit codes: 0 success, 1 failure, 2 usage, 3 conflict with a newer revision,
4 the change or file has faults.
";

/// Column of the summaries in the general help.
const SUMMARY_COLUMN: usize = 34;

impl Command {
    fn usage(&self) -> String {
        format!("{} {}", self.words, self.arguments).trim_end().to_owned()
    }

    /// Renders the help of this command.
    pub fn help(&self) -> String {
        let mut text = format!("Usage: juniperhollow {}\n\n{}\n", self.usage(), self.summary);
        if !self.options.is_empty() {
            text.push_str("\nOptions:\n");
            self.options.iter().for_each(|option| text.push_str(&format!("  {option}\n")));
        }
        text.push_str(&format!("\nExample:\n  {}\n\n{EXIT_CODES}", self.example));
        text
    }
}

/// Renders the help that lists all commands.
pub fn general_help() -> String {
    let mut text = "Usage: juniperhollow COMMAND [OPTIONS]; see COMMAND --help\n".to_owned();
    for group in Group::ALL {
        text.push_str(&format!("\n{}:\n", group.title()));
        for command in COMMANDS.iter().filter(|command| command.group == group) {
            let usage = command.usage();
            text.push_str(&format!("  {usage:<SUMMARY_COLUMN$} {}\n", command.summary));
        }
    }
    text.push_str(
        "\nOn the platform the daemons are run by juniperhollow-platform ('--help' lists its\n\
         roles, router and control).\n\n",
    );
    text.push_str(EXIT_CODES);
    text
}

/// Finds the command with whose words `words` begins.
pub fn find_command(words: &[String]) -> Option<&'static Command> {
    let matches = |command: &&Command| {
        let command_words: Vec<&str> = command.words.split(' ').collect();
        words.len() >= command_words.len()
            && command_words.iter().zip(words).all(|(expected, given)| expected == given)
    };
    COMMANDS.iter().find(matches)
}

/// Largest edit distance between a mistyped word and a suggestion.
const MAX_EDIT_DISTANCE: usize = 2;

/// Returns the known command closest to `given`, if any is within `MAX_EDIT_DISTANCE`.
pub fn closest_command(given: &str) -> Option<&'static str> {
    let with_same_word_count = |command: &'static Command| {
        let count = given.split(' ').count();
        let words = command.words;
        words.match_indices(' ').nth(count - 1).map_or(words, |(end, _)| &words[..end])
    };
    let candidates = COMMANDS.iter().map(with_same_word_count);
    let scored = candidates.map(|candidate| (edit_distance(given, candidate), candidate));
    scored
        .min()
        .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE)
        .map(|(_, candidate)| candidate)
}

/// Levenshtein distance between two texts.
fn edit_distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (position, letter) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = position + 1;
        for (column, other_letter) in other.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *other_letter);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[other.len()]
}

/// Returns the known option closest to `given`, if any is within `MAX_EDIT_DISTANCE`.
pub fn closest_option(given: &str) -> Option<&'static str> {
    let lines = COMMANDS.iter().flat_map(|command| command.options);
    let names = lines.filter_map(|line| line.split(' ').next());
    let scored = names.map(|name| (edit_distance(given, name), name));
    scored.min().filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE).map(|(_, name)| name)
}
