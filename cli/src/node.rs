//! `ivyhatch node`: runs one node in the foreground.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use ivyhatch_config::LoadedConfig;
use ivyhatch_node::{ConfigurationUnavailable, RunOptions};

use crate::config;
use crate::error::NodeConfigurationError;
use crate::exit::report_unusable;

#[derive(Args)]
pub struct NodeArguments {
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

/// The operators' configuration, and the configuration of one node that is generated from it.
struct NodeConfiguration {
    loaded: LoadedConfig,
    /// The node's configuration as JSON, in the format of the file that `EDGE_CONFIG` names.
    json: Vec<u8>,
}

impl NodeConfiguration {
    /// Loads the operators' configuration file and generates the configuration of the instance called `name`. The caller passes the same
    /// `seed` at every reload, so that a reload changes only what has changed in the file.
    fn load(file: &Path, name: &str, seed: u64) -> Result<Self, NodeConfigurationError> {
        let loaded = config::load(file).map_err(NodeConfigurationError::Invalid)?;
        let Some(instance) = loaded.config.instance(name) else {
            let instance_names =
                loaded.config.instances.iter().map(|instance| instance.name.clone()).collect();
            let (file, name) = (file.to_owned(), name.to_owned());
            return Err(NodeConfigurationError::UnknownInstance { file, name, instance_names });
        };
        let json = loaded.config.node_configuration(instance, seed).to_string().into_bytes();
        Ok(Self { loaded, json })
    }
}

/// Runs a node until a signal ends it: with `--config` as an instance of the operators' file, else with the file that `EDGE_CONFIG`
/// names.
pub fn run(arguments: NodeArguments) -> ExitCode {
    let (Some(file), Some(name)) = (arguments.config, arguments.instance) else {
        return ivyhatch_node::run();
    };
    let seed = rand::random();
    let log = match NodeConfiguration::load(&file, &name, seed) {
        Ok(configuration) => configuration.loaded.config.log,
        Err(error) => return report_unusable(error),
    };
    let instance = Some(name.clone());
    ivyhatch_node::run_with(RunOptions {
        // Called at the start and again at each SIGHUP, when the file may have changed and may no longer be valid.
        configuration: Box::new(move || match NodeConfiguration::load(&file, &name, seed) {
            Ok(configuration) => Ok(configuration.json),
            Err(error) => Err(ConfigurationUnavailable::Other(error.into())),
        }),
        log_level: log.level.parse().expect("log.level is validated when the file is loaded"),
        log_format: config::log_format(&log),
        instance,
        control_socket: arguments.control,
    })
}
