//! `ivyhatch config`: validates the operators' configuration file and prints its settings.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use ivyhatch_config::{Diagnostic, LoadedConfig, LogSettings};
use ivyhatch_node::LogFormat;
use serde_json::json;

use crate::exit::UNUSABLE;

/// Path of the operators' configuration file that commands read by default, relative to the working directory.
pub const DEFAULT_CONFIG_FILE: &str = "deploy/ivyhatch.toml";

/// Maximum combined length of a field's name and value, in bytes, up to which `config show --origin` aligns the origins. The
/// origin of a longer setting follows directly after its value.
const MAX_ALIGNED_COLUMNS: usize = 60;

#[derive(Subcommand)]
pub enum ConfigCommand {
    #[command(about = "Tells every mistake, with its place and what would be right")] // wire name: help text
    Check(FileArguments),
    /// Prints the values in force.
    Show(ShowArguments),
    /// Prints all fields of the form: what each must be, its default, what it is for.
    Fields {
        /// One JSON object a line.
        #[arg(long)]
        json: bool,
    },
}

// The file to read, and the output format.
#[derive(Args)]
pub struct FileArguments {
    /// The file.
    #[arg(default_value = DEFAULT_CONFIG_FILE)]
    file: PathBuf,
    /// One JSON object a line.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct ShowArguments {
    #[command(flatten)]
    input: FileArguments,
    /// Where each value comes from.
    #[arg(long)]
    origin: bool,
}

/// Loads the operators' configuration file and applies the overrides from environment variables. Returns all errors if the file or
/// an override is not valid.
pub fn load(file: &Path) -> Result<LoadedConfig, Vec<Diagnostic>> {
    // The names and values of overrides are always UTF-8; other variables are skipped.
    let variables = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    ivyhatch_config::load(file, variables)
}

/// Runs `ivyhatch config`.
pub fn run(command: &ConfigCommand) -> ExitCode {
    match command {
        ConfigCommand::Check(arguments) => check(arguments),
        ConfigCommand::Show(arguments) => show(arguments),
        ConfigCommand::Fields { json } => print_fields(*json),
    }
}

fn print_fields(as_json: bool) -> ExitCode {
    for info in ivyhatch_config::fields() {
        if as_json {
            println!("{}", json!(info));
            continue;
        }
        let default = match (info.required, info.default) {
            (true, _) => "required".to_owned(),
            (_, Some(text)) => format!("default {text}"),
            (_, None) => "may be missing".to_owned(),
        };
        println!("{}: {} ({}; {default})", info.field, info.purpose, info.expected);
    }
    ExitCode::SUCCESS
}

fn check(arguments: &FileArguments) -> ExitCode {
    let loaded = match load(&arguments.file) {
        Ok(loaded) => loaded,
        Err(diagnostics) => return report_diagnostics(&diagnostics, arguments.json),
    };
    let (files, instances) = (loaded.files.len(), loaded.config.instances.len());
    if arguments.json {
        println!("{}", json!({"ok": true, "files": loaded.files, "instances": instances}));
    } else {
        println!("{}: no mistakes; {files} files, {instances} instances", arguments.file.display());
    }
    ExitCode::SUCCESS
}

/// Prints all errors of the operators' configuration file, as JSON to standard output or as text to standard error. Returns
/// [`UNUSABLE`].
pub fn report_diagnostics(diagnostics: &[Diagnostic], as_json: bool) -> ExitCode {
    for diagnostic in diagnostics {
        match as_json {
            true => println!("{}", json!(diagnostic)),
            false => eprintln!("{diagnostic}"),
        }
    }
    if !as_json {
        eprintln!("ivyhatch: {} mistakes", diagnostics.len());
    }
    ExitCode::from(UNUSABLE)
}

fn show(arguments: &ShowArguments) -> ExitCode {
    let loaded = match load(&arguments.input.file) {
        Ok(loaded) => loaded,
        Err(diagnostics) => return report_diagnostics(&diagnostics, arguments.input.json),
    };
    let lengths = loaded.settings.iter().map(|setting| setting.field.len() + setting.value.to_string().len());
    let width = lengths.max().unwrap_or(0).min(MAX_ALIGNED_COLUMNS) + " = ".len();
    for setting in &loaded.settings {
        let line = format!("{} = {}", setting.field, setting.value);
        match (arguments.input.json, arguments.origin) {
            (true, _) => println!("{}", json!(setting)),
            (false, true) => println!("{line:width$}  # {}", setting.origin),
            (false, false) => println!("{line}"),
        }
    }
    ExitCode::SUCCESS
}

/// The log format that the `log` section of the operators' configuration file selects.
pub fn log_format(log: &LogSettings) -> LogFormat {
    if log.format == "json" { LogFormat::Json } else { LogFormat::Text }
}
