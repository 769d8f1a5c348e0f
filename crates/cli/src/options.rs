//! The command line of daisysill.

use std::{fs, path::PathBuf};

use daisysill_wire::http_types::{VoterAction, WhereRequest};

/// Admin URL of the node if `--node` is not given.
const DEFAULT_NODE: &str = "http://127.0.0.1:8081";

const ACTIONS: &str = "\
Usage: daisysill [OPTIONS] COMMAND

Commands:
  check DIR                 check the rule files in DIR
  publish DIR               put the rule files in DIR in force everywhere
  status                    show a node, its cluster and its upstreams
  explain [REQUEST]         show why requests were served as they were
  where SERVICE CUSTOMER    show where a request would go now and why, without sending it
  drain UPSTREAM            give an upstream no new work
  undrain UPSTREAM          clear the drain mark
  evacuate ZONE start       send nothing more to the upstreams of a zone
  evacuate ZONE end         send requests to the zone again
  evacuate [ZONE] status    show the evacuated zones and what still runs there
  weights SERVICE OLD NEW   roll out a weight version
  voters                    show the voters and learners
  voters add NAME           send the log to a node; it does not vote yet
  voters promote NAME       let a learner that holds the log vote
  voters remove NAME        take a learner or a voter out
  digest                    print the digest of the bearer token on standard input

For a model service, where needs the prompt: its text (--prompt, --prompt-file; for a chat, a line
<ROLE>TEXT for each message, and then <assistant>), or its length (--tokens) and the names of its complete
pieces (--pieces), as engines report them in their cache events.";

/// The command line as parsed.
#[derive(Clone)]
pub(crate) struct Options {
    /// Base URL of a node's admin listener.
    pub(crate) node: String,
    /// Bearer token for the admin listener; `None` to send none.
    pub(crate) admin_token: Option<String>,
    /// Whether to print JSON instead of text.
    pub(crate) json: bool,
    /// Identifies a change, so that it can be resent safely; `None` for a new random id.
    pub(crate) change_id: Option<String>,
    /// The command to run.
    pub(crate) action: Action,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Print the text of `--help` or `--version`.
    Print(String),
    /// Check rule files.
    Check {
        /// Directory of the rule files.
        directory: PathBuf,
    },
    /// Put rule files in force on all nodes.
    Publish(Publish),
    /// Show a node, its cluster and its upstreams.
    Status,
    /// Show why requests were served as they were.
    Explain {
        /// Id of one request; `None` for the latest requests.
        request_id: Option<String>,
    },
    /// Show where a request would go now.
    Where(WhereRequest),
    /// Set or clear the drain mark of an upstream.
    Drain {
        /// Id of the upstream.
        upstream: String,
        /// Whether to set the mark.
        draining: bool,
    },
    /// Start or end the evacuation of a zone.
    Evacuate {
        /// Name of the availability zone.
        zone: String,
        /// Whether to start it.
        evacuated: bool,
    },
    /// Show the evacuated zones.
    EvacuationStatus {
        /// Name of one zone; `None` for all that are evacuated.
        zone: Option<String>,
    },
    /// Print the digest of a bearer token.
    Digest,
    /// Show the voters and learners.
    Voters,
    /// Add, promote or remove a voter.
    ChangeVoters {
        /// The change to make.
        action: VoterAction,
        /// Name of the node.
        name: String,
    },
    /// Roll out a weight version.
    Weights {
        /// Name of the model service.
        service: String,
        /// The version in force, which the change is based on.
        base: u64,
        /// The version to load.
        version: u64,
    },
}

/// Arguments of `publish`.
#[derive(Clone, Debug)]
pub(crate) struct Publish {
    /// Directory of the rule files.
    pub(crate) directory: PathBuf,
    /// The version of the rules that the files are based on; `None` for the one in force.
    pub(crate) base: Option<u64>,
    /// Whether to wait until the files are in force on every live node.
    pub(crate) wait: bool,
    /// Longest time to wait.
    pub(crate) timeout_s: u64,
}

impl Options {
    /// Parses the arguments that follow the program's name. The error is a message for the user.
    pub(crate) fn parse<I: IntoIterator<Item = String>>(arguments: I) -> Result<Self, String> {
        let parser = parser();
        let matches = parser.parse(arguments).map_err(|error| error.to_string())?;
        let action = if matches.opt_present("help") {
            Action::Print(parser.usage(ACTIONS))
        } else if matches.opt_present("version") {
            Action::Print(format!("daisysill {}\n", env!("CARGO_PKG_VERSION")))
        } else {
            parse_action(&matches)?
        };
        Ok(Self {
            node: matches.opt_str("node").unwrap_or_else(|| DEFAULT_NODE.to_owned()),
            admin_token: matches.opt_str("admin-token-file").map(|path| read_token(&path)).transpose()?,
            json: matches.opt_present("json"),
            change_id: matches.opt_str("change-id"),
            action,
        })
    }
}

fn parser() -> getopts::Options {
    let mut parser = getopts::Options::new();
    parser.optopt("n", "node", "admin URL of a node (default http://127.0.0.1:8081)", "URL");
    parser.optopt("", "admin-token-file", "file that holds the operators' bearer token", "FILE");
    parser.optflag("j", "json", "print JSON");
    parser.optopt("", "change-id", "identify the change, so that it can be resent safely", "ID");
    parser.optopt("", "base", "publish on top of this version of the rules", "VERSION");
    parser.optopt("", "prompt", "where: text of the prompt", "TEXT");
    parser.optopt("", "prompt-file", "where: file that holds the text of the prompt", "FILE");
    parser.optopt("", "tokens", "where: length of the prompt, in place of its text", "TOKENS");
    parser.optopt(
        "",
        "pieces",
        "where: names of the prompt's complete pieces in order, with --tokens",
        "NAME,...",
    );
    parser.optopt("", "adapter", "where: name of a fine-tuned adapter", "NAME");
    parser.optflag("w", "wait", "return when every live node has the rules in force");
    parser.optopt("", "timeout", "seconds to wait (default 11)", "SECONDS");
    parser.optflag("h", "help", "print this text");
    parser.optflag("V", "version", "print the version");
    parser
}

fn parse_action(matches: &getopts::Matches) -> Result<Action, String> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", directory] => Ok(Action::Check { directory: PathBuf::from(directory) }),
        ["publish", directory] => Ok(Action::Publish(Publish {
            directory: PathBuf::from(directory),
            base: matches.opt_get("base").map_err(|_| "--base takes a number".to_owned())?,
            wait: matches.opt_present("wait"),
            timeout_s: matches
                .opt_get_default("timeout", 11)
                .map_err(|_| "--timeout takes a number of seconds".to_owned())?,
        })),
        ["status"] => Ok(Action::Status),
        ["digest"] => Ok(Action::Digest),
        ["explain"] => Ok(Action::Explain { request_id: None }),
        ["explain", id] => Ok(Action::Explain { request_id: Some((*id).to_owned()) }),
        ["where", service, customer] => Ok(Action::Where(where_request(matches, service, customer)?)),
        ["drain", upstream] => Ok(Action::Drain { upstream: (*upstream).to_owned(), draining: true }),
        ["undrain", upstream] => Ok(Action::Drain { upstream: (*upstream).to_owned(), draining: false }),
        ["evacuate", "status"] => Ok(Action::EvacuationStatus { zone: None }),
        ["evacuate", zone, "status"] => Ok(Action::EvacuationStatus { zone: Some((*zone).to_owned()) }),
        ["evacuate", zone, change @ ("start" | "end")] => {
            Ok(Action::Evacuate { zone: (*zone).to_owned(), evacuated: *change == "start" })
        }
        ["evacuate", ..] => Err("evacuate takes ZONE start, ZONE end, ZONE status or status".to_owned()),
        ["weights", service, base, version] => Ok(Action::Weights {
            service: (*service).to_owned(),
            base: number(base)?,
            version: number(version)?,
        }),
        ["voters"] => Ok(Action::Voters),
        ["voters", action, name] => Ok(Action::ChangeVoters {
            action: action.parse().map_err(|_| "voters takes add, promote or remove".to_owned())?,
            name: (*name).to_owned(),
        }),
        [] => Err("no command given; see daisysill --help".to_owned()),
        words => Err(format!("cannot understand {:?}; see daisysill --help", words.join(" "))),
    }
}

fn where_request(matches: &getopts::Matches, service: &str, customer: &str) -> Result<WhereRequest, String> {
    let prompt = match (matches.opt_str("prompt"), matches.opt_str("prompt-file")) {
        (Some(_), Some(_)) => return Err("--prompt and --prompt-file exclude each other".to_owned()),
        (Some(text), None) => Some(text),
        (None, Some(path)) => Some(fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?),
        (None, None) => None,
    };
    let pieces = matches.opt_str("pieces").unwrap_or_default();
    Ok(WhereRequest {
        service: service.to_owned(),
        customer: customer.to_owned(),
        adapter: matches.opt_str("adapter"),
        prompt,
        pieces: pieces.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect(),
        prompt_tokens: matches.opt_get("tokens").map_err(|_| "--tokens takes a number".to_owned())?,
    })
}

/// Reads a token from a file, so that it does not appear in the process list.
fn read_token(path: &str) -> Result<String, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    Ok(text.trim().to_owned())
}

fn number(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text:?} is not a number"))
}
