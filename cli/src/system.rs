//! The roles of the system, as the deploy file starts them: `ivyhatch control` and `ivyhatch router`. What they are told stands in
//! the settings file that the platform names. Beside them `ivyhatch hunt`, which looks for broken promises of the control state.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, pure};
use ivyhatch_simulation::hunt::{self, RecordedRun};

/// A role, or the hunt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Keeps the control state, follows the platform's list, serves operators and the directory.
    Control,
    /// Takes clients' requests.
    Router,
    /// Plays worlds of control nodes in virtual time.
    Hunt(Hunt),
}

/// What is hunted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hunt {
    worlds: usize,
    seed: u64,
    mutations: bool,
    out: PathBuf,
    replay: Option<PathBuf>,
}

fn hunting() -> OptionParser<Role> {
    let worlds = long("worlds").help("worlds that are played").argument::<usize>("N").fallback(1000);
    let seed = long("seed").help("from which they are drawn").argument::<u64>("S").fallback(1);
    let mutations = long("mutations")
        .help("plays calm worlds instead, each with every message dropped, doubled, delayed and replaced in turn")
        .switch();
    let out = long("out")
        .help("where worlds that break a rule go")
        .argument::<PathBuf>("DIR")
        .fallback("found".into());
    let replay = long("replay")
        .help("plays this one, and prints all that happens")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(Hunt { worlds, seed, mutations, out, replay })
        .map(Role::Hunt)
        .to_options()
        .descr("Plays worlds of control nodes, disks and cuts in virtual time, and keeps those that break a rule as short files")
}

fn parser() -> OptionParser<Role> {
    let control = pure(Role::Control)
        .to_options()
        .descr("Runs a control node, as the settings file says that IVYHATCH_SETTINGS names")
        .command("control")
        .help("keeps the configuration and the list of servers, and serves operators and the directory");
    let router = pure(Role::Router)
        .to_options()
        .descr("Runs a router, as the settings file says that IVYHATCH_SETTINGS names")
        .command("router")
        .help("takes clients' requests and sends them to servers");
    let hunt = hunting().command("hunt").help("looks for broken promises of the control state");
    construct!([control, router, hunt]).to_options().descr("The roles of the system")
}

/// Runs a role, where the arguments name one.
pub fn role(arguments: &[String]) -> Option<ExitCode> {
    if !matches!(arguments.first().map(String::as_str), Some("control" | "router" | "hunt")) {
        return None;
    }
    Some(match parser().run_inner(arguments) {
        Ok(Role::Control) => ivyhatch_system::run_control(),
        Ok(Role::Router) => ivyhatch_system::run_router(),
        Ok(Role::Hunt(hunt)) => hunt.run(),
        Err(failure) => {
            failure.print_message(120);
            ExitCode::from(failure.exit_code() as u8)
        }
    })
}

impl Hunt {
    fn run(&self) -> ExitCode {
        if let Some(file) = &self.replay {
            return replay(file);
        }
        let began = std::time::Instant::now();
        let count = |label: &str, played: usize, found: usize| {
            eprintln!("{label}={played} found={found} seconds={:.1}", began.elapsed().as_secs_f64());
        };
        let (mut played, mut found) = (0, 0);
        let worlds = hunt::plans(self.seed).take(self.worlds);
        let worlds: Box<dyn Iterator<Item = _>> = if self.mutations {
            Box::new(worlds.flat_map(|plan| hunt::message_mutations(&plan.without_faults(), 1, 1)))
        } else {
            Box::new(worlds)
        };
        for plan in worlds {
            played += 1;
            if let Some(one) = hunt::find_and_shrink(plan, None) {
                found += 1;
                if let Err(error) = self.keep(&one) {
                    eprintln!("ivyhatch: {error}");
                    return ExitCode::from(3);
                }
            }
            if played % 1000 == 0 {
                count("worlds", played, found);
            }
        }
        count("worlds", played, found);
        if found > 0 { ExitCode::from(1) } else { ExitCode::SUCCESS }
    }

    fn keep(&self, found: &RecordedRun) -> Result<(), hunt::RecordingError> {
        let path = found.save(&self.out)?;
        let violation = &found.violation;
        println!(
            "rule={} at_ms={} file={} seen={:?}",
            violation.invariant,
            violation.at_ms,
            path.display(),
            violation.description
        );
        Ok(())
    }
}

fn replay(file: &std::path::Path) -> ExitCode {
    match RecordedRun::read(file) {
        Ok(found) => {
            let outcome = ivyhatch_simulation::run::play_traced(&found.plan, found.injected_bug);
            outcome.trace.iter().for_each(|line| println!("{line}"));
            match outcome.violation {
                Some(violation) => {
                    println!(
                        "rule={} at_ms={} seen={:?}",
                        violation.invariant, violation.at_ms, violation.description
                    );
                    ExitCode::from(1)
                }
                None => ExitCode::SUCCESS,
            }
        }
        Err(error) => {
            eprintln!("ivyhatch: {error}");
            ExitCode::from(3)
        }
    }
}
