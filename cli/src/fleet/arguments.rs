//! Arguments of `ivyhatch agent` and of the commands that call agents. clap prints the doc comments here in `--help`, and derives the
//! names of flags from the names of fields.

use std::path::PathBuf;

use clap::Args;

use crate::config::DEFAULT_CONFIG_FILE;

#[derive(Args)]
pub struct AgentArguments {
    /// The operators' file.
    #[arg(long, default_value = DEFAULT_CONFIG_FILE)]
    pub(super) config: PathBuf,
    /// Where it is asked; without it, `agent.sock` in the file's agent.state.
    #[arg(long)]
    pub(super) socket: Option<PathBuf>,
}

#[derive(Args)]
pub struct AgentSocketArguments {
    /// An agent's socket; may be given several times. Without it, the one that the file names.
    #[arg(long = "agent")]
    pub(super) agents: Vec<PathBuf>,
    /// The operators' file, which names the agent's socket.
    #[arg(long, default_value = DEFAULT_CONFIG_FILE)]
    pub(super) config: PathBuf,
    /// One JSON object a line, in place of the table.
    #[arg(long)]
    pub(super) json: bool,
}

#[derive(Args)]
pub struct SelectionArguments {
    /// Which instances: `all`, a name with `*` in it, `zone=a`, `tier=front` for a label; with commas for all of several.
    #[arg(default_value = "all")]
    pub(super) selectors: Vec<String>,
    #[command(flatten)]
    pub(super) agents: AgentSocketArguments,
}

#[derive(Args)]
pub struct TopArguments {
    #[command(flatten)]
    pub(super) selection: SelectionArguments,
    /// Seconds between two tables.
    #[arg(long, default_value_t = 1.0)]
    pub(super) every: f64,
    /// Ends after so many.
    #[arg(long)]
    pub(super) times: Option<u64>,
}

#[derive(Args)]
pub struct LogsArguments {
    #[command(flatten)]
    pub(super) selection: SelectionArguments,
    /// So many of each instance's last lines.
    #[arg(long, default_value_t = 20)]
    pub(super) lines: usize,
}

#[derive(Args)]
pub struct ChangeArguments {
    /// Which instances: `all`, a name with `*` in it, `zone=a`, `tier=front` for a label; with commas for all of several.
    #[arg(required = true)]
    pub(super) selectors: Vec<String>,
    /// Seconds by which each instance has to be as asked.
    #[arg(long, default_value_t = 30.0)]
    pub(super) deadline: f64,
    /// Shows what would be done, and does nothing.
    #[arg(long)]
    pub(super) dry_run: bool,
    /// Does not ask before more than half of a zone is taken away.
    #[arg(long)]
    pub(super) yes: bool,
    /// The command's id: given again, the same command is not done twice.
    #[arg(long)]
    pub(super) id: Option<String>,
    /// Who asks; without it, the user's name.
    #[arg(long)]
    pub(super) by: Option<String>,
    #[command(flatten)]
    pub(super) agents: AgentSocketArguments,
}

#[derive(Args)]
pub struct RolloutArguments {
    #[command(flatten)]
    pub(super) change: ChangeArguments,
    /// Seconds for which the share served is watched, before the first zone and after each.
    #[arg(long, default_value_t = 10.0)]
    pub(super) watch: f64,
    /// Stops when the share served is lower by so much than before, from 0 to 1.
    #[arg(long, default_value_t = 0.05)]
    pub(super) fall: f64,
}
