//! `ivyhatch lab hunt`: searches for the world in which the balancer performs worst compared with reference policies. Help texts and output
//! call the balancer the (decision) module.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use ivyhatch_experiments::{Finding, HuntConfig, ReferenceShare, hunt};
use ivyhatch_lab::{Policy, World};
use serde_json::json;

use crate::error::CommandError;
use crate::exit::{code_for_failures, report_unusable};
use crate::progress::{default_threads, progress_bar};
use crate::world_file::read_world;

#[derive(Args)]
pub struct HuntArguments {
    /// The world's file from which it starts; the built-in evening without.
    world: Option<PathBuf>,
    /// Rounds; each tries 16 worlds.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u32).range(1..=100_000))]
    rounds: u32,
    /// Drives the search.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// A gap in the share served under this is not worth a file.
    #[arg(long, default_value_t = 0.05)]
    least: f64,
    /// Compares with the policy that sees the true state as well.
    #[arg(long)]
    truth: bool,
    /// Where the world that is found goes.
    #[arg(long, default_value = "found.toml")]
    out: PathBuf,
    /// One JSON object in place of the sentence.
    #[arg(long)]
    json: bool,
}

/// Searches for worlds, writes the one with the largest gap to `--out` and prints the shares served in it.
pub fn run(arguments: &HuntArguments) -> ExitCode {
    let initial_world = match read_world(arguments.world.as_deref()) {
        Ok(world) => world,
        Err(error) => return report_unusable(error),
    };
    let Some(finding) = search(arguments, initial_world) else {
        match arguments.json {
            true => println!("{}", json!({ "found": null })),
            false => println!(
                "nothing found: no reference serves more than the module by {} on any world tried",
                arguments.least
            ),
        }
        return ExitCode::SUCCESS;
    };
    match write_and_print(arguments, &finding) {
        Ok(()) => code_for_failures(finding.rules_broken),
        Err(error) => report_unusable(error),
    }
}

fn search(arguments: &HuntArguments, initial_world: World) -> Option<Finding> {
    let references = Policy::REFERENCES
        .into_iter()
        .filter(|policy| arguments.truth || *policy != Policy::Omniscient)
        .collect();
    let &HuntArguments { rounds, seed, least, .. } = arguments;
    let config = HuntConfig {
        initial: initial_world,
        references,
        rounds,
        seed,
        threads: default_threads(),
        min_gap: least,
    };
    let template = "{pos}/{len} rounds [{bar:40}] {eta} to go; largest gap {msg}";
    let bar = progress_bar(rounds.into(), arguments.json, template);
    let finding = hunt(&config, &mut |round, _, gap| {
        bar.set_position(round.into());
        bar.set_message(format!("{gap:.3}"));
    });
    bar.finish_and_clear();
    finding
}

fn write_and_print(arguments: &HuntArguments, finding: &Finding) -> Result<(), CommandError> {
    let ReferenceShare { policy, share: reference_share } = finding.best;
    let summary = format!(
        "the module serves {:.3}, {policy} {reference_share:.3}; {} rules broken; {} worlds played",
        finding.balancer_share, finding.rules_broken, finding.worlds_run
    );
    let path = &arguments.out;
    std::fs::write(path, format!("# {summary}\n{}", finding.world.write()))
        .map_err(|source| CommandError::File { path: path.clone(), source })?;
    if arguments.json {
        let (balancer_share, out_path) = (finding.balancer_share, path.display().to_string());
        let line = json!({ "found": out_path, "module": balancer_share, "best": reference_share, "policy": policy,
            "rules_broken": finding.rules_broken, "played": finding.worlds_run });
        println!("{line}");
    } else {
        println!("{}: {summary}", path.display());
    }
    Ok(())
}
