//! `ivyhatch config`, and `ivyhatch node` from it.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Subcommand};
use ivyhatch_config::{Diagnostic, LoadedConfig, LogSettings};
use serde_json::json;

use crate::unusable;

pub const DEFAULT_FILE: &str = "deploy/ivyhatch.toml";

#[derive(Subcommand)]
pub enum Config {
    /// Tells every mistake, with its place and what would be right.
    Check(Which),
    /// Prints the values in force.
    Show(Show),
    /// Prints all fields of the form: what each must be, its default, what it is for.
    Fields {
        /// One JSON object a line.
        #[arg(long)]
        json: bool,
    },
}

#[derive(Args)]
pub struct Which {
    /// The file.
    #[arg(default_value = DEFAULT_FILE)]
    file: PathBuf,
    /// One JSON object a line.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Show {
    #[command(flatten)]
    which: Which,
    /// Where each value comes from.
    #[arg(long)]
    origin: bool,
}

#[derive(Args)]
pub struct Node {
    /// Where its control socket listens; without it there is none.
    #[arg(long, requires = "config")]
    control: Option<PathBuf>,
    /// The operators' file; without it, `EDGE_CONFIG` names the platform's.
    #[arg(long, requires = "instance")]
    config: Option<PathBuf>,
    /// Which of its instances this is.
    #[arg(long, requires = "config")]
    instance: Option<String>,
}

pub fn read(file: &Path) -> Result<LoadedConfig, Vec<Diagnostic>> {
    // A variable that is no text can't be one of ours.
    let variables = std::env::vars_os()
        .filter_map(|(name, value)| Some((name.into_string().ok()?, value.into_string().ok()?)));
    ivyhatch_config::load(file, variables)
}

pub fn run(command: &Config) -> ExitCode {
    match command {
        Config::Check(which) => check(which),
        Config::Show(show) => self::show(show),
        Config::Fields { json } => {
            for info in ivyhatch_config::fields() {
                if *json {
                    println!("{}", json!(info));
                    continue;
                }
                let without = match (info.required, info.default) {
                    (true, _) => "required".to_owned(),
                    (_, Some(text)) => format!("default {text}"),
                    (_, None) => "may be missing".to_owned(),
                };
                println!("{}: {} ({}; {without})", info.field, info.purpose, info.expected);
            }
            ExitCode::SUCCESS
        }
    }
}

fn check(which: &Which) -> ExitCode {
    match read(&which.file) {
        Ok(read) => {
            let (files, instances) = (read.files.len(), read.config.instances.len());
            if which.json {
                println!("{}", json!({"ok": true, "files": read.files, "instances": instances}));
            } else {
                println!("{}: no mistakes; {files} files, {instances} instances", which.file.display());
            }
            ExitCode::SUCCESS
        }
        Err(mistakes) => tell(&mistakes, which.json),
    }
}

pub fn tell(mistakes: &[Diagnostic], as_json: bool) -> ExitCode {
    for mistake in mistakes {
        match as_json {
            true => println!("{}", json!(mistake)),
            false => eprintln!("{mistake}"),
        }
    }
    if !as_json {
        eprintln!("ivyhatch: {} mistakes", mistakes.len());
    }
    ExitCode::from(3)
}

fn show(show: &Show) -> ExitCode {
    let read = match read(&show.which.file) {
        Ok(read) => read,
        Err(mistakes) => return tell(&mistakes, show.which.json),
    };
    let longest = read.settings.iter().map(|setting| setting.field.len() + setting.value.to_string().len());
    let wide = longest.max().unwrap_or(0).min(60) + 3;
    for setting in &read.settings {
        let line = format!("{} = {}", setting.field, setting.value);
        match (show.which.json, show.origin) {
            (true, _) => println!("{}", json!(setting)),
            (false, true) => println!("{line:wide$}  # {}", setting.origin),
            (false, false) => println!("{line}"),
        }
    }
    ExitCode::SUCCESS
}

/// What the node is told now; read anew at each SIGHUP, so the file may have changed, and may have become wrong.
fn told(file: &Path, name: &str, seed: u64) -> Result<(LoadedConfig, Vec<u8>), String> {
    let read = read(file).map_err(|mistakes| {
        let more = mistakes.len() - 1;
        let first = mistakes.first().map_or(String::new(), ToString::to_string);
        if more > 0 { format!("{first} (and {more} more: ivyhatch config check)") } else { first }
    })?;
    let Some(instance) = read.config.instance(name) else {
        let known: Vec<&str> = read.config.instances.iter().map(|instance| instance.name.as_str()).collect();
        return Err(format!(
            "{}: there is no instance {name:?}; there are {}",
            file.display(),
            known.join(", ")
        ));
    };
    let text = read.config.node_configuration(instance, seed).to_string().into_bytes();
    Ok((read, text))
}

pub fn log_format(log: &LogSettings) -> ivyhatch_node::LogFormat {
    if log.format == "json" { ivyhatch_node::LogFormat::Json } else { ivyhatch_node::LogFormat::Text }
}

pub fn node(node: Node) -> ExitCode {
    let (Some(file), Some(name)) = (node.config, node.instance) else { return ivyhatch_node::run() };
    let seed = rand::random();
    let log = match told(&file, &name, seed) {
        Ok((read, _)) => read.config.log,
        Err(error) => return unusable(&error),
    };
    let instance = Some(name.clone());
    ivyhatch_node::run_with(ivyhatch_node::RunOptions {
        configuration: Box::new(move || {
            let unavailable = |reason: String| ivyhatch_node::ConfigurationUnavailable::Other(reason.into());
            Ok(told(&file, &name, seed).map_err(unavailable)?.1)
        }),
        log_level: log.level.parse().expect("checked"),
        log_format: log_format(&log),
        instance,
        control_socket: node.control,
    })
}
