//! Every command with its help. The general help is made from this table too, so that no
//! command is missing there.

/// What is known of one command.
#[derive(Clone, Copy, Debug)]
pub struct Command {
    /// Its words, such as `tree get`.
    pub words: &'static str,
    /// Under which heading the general help lists it.
    pub group: Group,
    /// What follows the words.
    pub arguments: &'static str,
    /// What it does, in one line.
    pub summary: &'static str,
    /// What the options mean, a line each.
    pub options: &'static [&'static str],
    /// A call that works.
    pub example: &'static str,
}

/// Headings of the general help, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Processes that run until they are stopped.
    Daemons,
    /// What needs no running cluster.
    Checks,
    /// Calls to control replicas.
    Operator,
    /// Work on data folders while every control replica is stopped.
    Recovery,
    /// Reading logs.
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
            Group::Logs => "Looking into a failure",
        }
    }
}

const SET_OPTION: &str =
    "--set KEY=VALUE             a value in place of the node file's; may be repeated";

const FORMAT_OPTION: &str = "--format text|json          default text";

const NODE_FILE_OPTIONS: &[&str] =
    &["--settings FILE             the node file", SET_OPTION, FORMAT_OPTION];

const OPERATOR_OPTIONS: &[&str] = &[
    "--control URL               e.g. http://127.0.0.1:7101; repeat for more replicas",
    "--operator-key-file FILE    file with the operators' key",
    FORMAT_OPTION,
];

const DRAIN_OPTIONS: &[&str] = &[
    OPERATOR_OPTIONS[0],
    OPERATOR_OPTIONS[1],
    OPERATOR_OPTIONS[2],
    "--undo                      give it work again",
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

/// Every command.
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
        summary: "make a new cluster on one control replica, once for a deployment; the others join it",
        options: NODE_FILE_OPTIONS,
        example: "juniperhollow found --settings node.toml",
    },
    Command {
        words: "settings check",
        group: Group::Checks,
        arguments: "FILE [--upon FILE]",
        summary: "check a node file, or a change (*.json) upon an empty or a given tree; list every fault",
        options: &[
            "--upon FILE                 the tree that the change is checked upon",
            SET_OPTION,
            FORMAT_OPTION,
        ],
        example: "juniperhollow settings check change.json --upon tree.json",
    },
    Command {
        words: "key hash",
        group: Group::Checks,
        arguments: "",
        summary: "read a key on standard input, print its hash",
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
        "print the values in force at PATH",
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
        "make an earlier tree the newest revision",
        "juniperhollow tree rollback 4 --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "status",
        "",
        "role, term, leader and members of a control replica",
        "juniperhollow status --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "nodes",
        "",
        "status of every node with the revision in force",
        "juniperhollow nodes --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "quarantine list",
        "",
        "requests that are sent to no server, because servers ended under them",
        "juniperhollow quarantine list --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    operator(
        "quarantine release",
        "FINGERPRINT",
        "let such a request be sent again, once the servers are mended",
        "juniperhollow quarantine release 00112233445566778899aabbccddeeff \
         --control http://127.0.0.1:7101 --operator-key-file key",
    ),
    Command {
        options: DRAIN_OPTIONS,
        ..operator(
            "drain",
            "ENGINE [--undo]",
            "give a back end no new work ('--undo' takes it back)",
            "juniperhollow drain 7 --control http://127.0.0.1:7101 --operator-key-file key",
        )
    },
    Command {
        words: "recover",
        group: Group::Recovery,
        arguments: "--folder DIR... [--apply]",
        summary: "plan the way out of a lost quorum and change nothing, or carry it out",
        options: &[
            "--folder DIR                a data folder; repeat it for every one that is left",
            "--apply                     make the latest the only voter",
            FORMAT_OPTION,
        ],
        example: "juniperhollow recover --folder data-1 --folder data-3",
    },
    Command {
        words: "explain",
        group: Group::Logs,
        arguments: "REQUEST FILE...",
        summary: "print the story of one request from the logs of any number of processes",
        options: &["-                           as a FILE: standard input"],
        example: "juniperhollow explain 9c41d07be2a35f68 router.log control.log",
    },
];

const EXIT_CODES: &str = "\
Exit codes: 0 success, 1 failure, 2 usage, 3 conflict with a newer revision,
4 the change or file has faults.
";

/// Column at which summaries begin in the general help.
const SUMMARY_COLUMN: usize = 34;

impl Command {
    fn usage(&self) -> String {
        format!("{} {}", self.words, self.arguments).trim_end().to_owned()
    }

    /// The help of the command alone.
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

/// The help that lists all commands.
pub fn general_help() -> String {
    let mut text = "Usage: juniperhollow COMMAND [OPTIONS]; COMMAND --help tells more\n".to_owned();
    for group in Group::ALL {
        text.push_str(&format!("\n{}:\n", group.title()));
        for command in COMMANDS.iter().filter(|command| command.group == group) {
            let usage = command.usage();
            text.push_str(&format!("  {usage:<SUMMARY_COLUMN$} {}\n", command.summary));
        }
    }
    text.push_str(
        "\nOn the platform the daemons are run by juniperhollow-platform ('--help' tells its\n\
         roles, router and control).\n\n",
    );
    text.push_str(EXIT_CODES);
    text
}

/// The command whose words these begin with.
pub fn find(words: &[String]) -> Option<&'static Command> {
    let is_meant = |command: &&Command| {
        let own: Vec<&str> = command.words.split(' ').collect();
        words.len() >= own.len() && own.iter().zip(words).all(|(own, given)| own == given)
    };
    COMMANDS.iter().find(is_meant)
}

/// Most letters by which a near miss differs from the command that was meant.
const NEAR_MISS: usize = 2;

/// The command that was probably meant by these words, none of which is one.
pub fn nearest(given: &str) -> Option<&'static str> {
    let of_same_length = |command: &'static Command| {
        let count = given.split(' ').count();
        let words = command.words;
        words.match_indices(' ').nth(count - 1).map_or(words, |(end, _)| &words[..end])
    };
    let candidates = COMMANDS.iter().map(of_same_length);
    let scored = candidates.map(|candidate| (distance(given, candidate), candidate));
    scored.min().filter(|(distance, _)| *distance <= NEAR_MISS).map(|(_, candidate)| candidate)
}

/// Letters to insert, remove or replace to make one text of the other (Levenshtein).
fn distance(one: &str, other: &str) -> usize {
    let other: Vec<char> = other.chars().collect();
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (place, letter) in one.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = place + 1;
        for (column, known) in other.iter().enumerate() {
            let replaced = diagonal + usize::from(letter != *known);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(row[column] + 1).min(diagonal + 1);
        }
    }
    row[other.len()]
}

/// The option that was probably meant by one that no command has.
pub fn nearest_option(given: &str) -> Option<&'static str> {
    let lines = COMMANDS.iter().flat_map(|command| command.options);
    let names = lines.filter_map(|line| line.split(' ').next());
    let scored = names.map(|name| (distance(given, name), name));
    scored.min().filter(|(distance, _)| *distance <= NEAR_MISS).map(|(_, name)| name)
}
