//! `ivyhatch lab hunt`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use ivyhatch_experiments::{HuntConfig, ReferenceShare, hunt};
use ivyhatch_lab::Policy;

use crate::{bar, lab, threads, unusable};

#[derive(Args)]
pub struct Arguments {
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

pub fn run(arguments: &Arguments) -> ExitCode {
    let initial = match lab::world(arguments.world.as_deref()) {
        Ok(initial) => initial,
        Err(error) => return unusable(&error),
    };
    let references = Policy::REFERENCES
        .into_iter()
        .filter(|policy| arguments.truth || *policy != Policy::Omniscient)
        .collect();
    let &Arguments { rounds, seed, least, .. } = arguments;
    let config = HuntConfig { initial, references, rounds, seed, threads: threads(), min_gap: least };
    let bar =
        bar(rounds.into(), arguments.json, "{pos}/{len} rounds [{bar:40}] {eta} to go; largest gap {msg}");
    let found = hunt(&config, &mut |round, _, gap| {
        bar.set_position(round.into());
        bar.set_message(format!("{gap:.3}"));
    });
    bar.finish_and_clear();
    let Some(found) = found else {
        match arguments.json {
            true => println!("{}", serde_json::json!({ "found": null })),
            false => println!(
                "nothing found: no reference serves more than the module by {least} on any world tried"
            ),
        }
        return ExitCode::SUCCESS;
    };
    let ReferenceShare { policy, share: best } = found.best;
    let story = format!(
        "the module serves {:.3}, {policy} {best:.3}; {} rules broken; {} worlds played",
        found.balancer_share, found.rules_broken, found.worlds_run
    );
    let text = format!("# {story}\n{}", found.world.write());
    if let Err(error) = std::fs::write(&arguments.out, text) {
        return unusable(&format!("{}: {error}", arguments.out.display()));
    }
    match arguments.json {
        true => {
            let (module, out) = (found.balancer_share, arguments.out.display().to_string());
            let line = serde_json::json!({ "found": out, "module": module, "best": best, "policy": policy,
                "rules_broken": found.rules_broken, "played": found.worlds_run });
            println!("{line}");
        }
        false => println!("{}: {story}", arguments.out.display()),
    }
    if found.rules_broken > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
}
