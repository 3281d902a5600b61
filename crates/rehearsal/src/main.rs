//! Plays seeds: `rehearsal --seeds 1000`, `rehearsal --seed 7 --story`, `rehearsal --defect wiped-votes`.
#![forbid(unsafe_code)]

use rehearsal::{play, Defect};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this and end");
    options.optflag("l", "list-defects", "print the defects' names and end");
    options.optopt("s", "seed", "the first seed (0)", "N");
    options.optopt("n", "seeds", "how many (1)", "N");
    options.optopt("d", "defect", "plant this one", "NAME");
    options.optflag("", "growth", "print what grows with the fleet and end");
    options.optflag("", "story", "print what happened also where no rule was broken");
    let told = match options.parse(std::env::args().skip(1)) {
        Ok(told) => told,
        Err(e) => {
            eprintln!("rehearsal: {e}");
            return ExitCode::FAILURE;
        }
    };
    if told.opt_present("h") {
        print!(
            "{}",
            options
                .usage("rehearsal: the control plane on a simulated network.\n\nUsage: rehearsal [options]")
        );
        return ExitCode::SUCCESS;
    }
    if told.opt_present("l") {
        Defect::ALL.iter().for_each(|d| println!("{}", d.name()));
        return ExitCode::SUCCESS;
    }
    if told.opt_present("growth") {
        rehearsal::growth::table().iter().for_each(|l| println!("{l}"));
        return ExitCode::SUCCESS;
    }
    let number = |name: &str, usual: u64| told.opt_get_default(name, usual);
    let (Ok(first), Ok(count)) = (number("seed", 0), number("seeds", 1)) else {
        eprintln!("rehearsal: a seed is a number");
        return ExitCode::FAILURE;
    };
    let defect = told.opt_str("defect");
    let planted = defect.as_ref().and_then(|name| Defect::ALL.into_iter().find(|d| d.name() == *name));
    if defect.is_some() && planted.is_none() {
        eprintln!("rehearsal: no such defect; --list-defects names them");
        return ExitCode::FAILURE;
    }
    let (mut steps, mut acknowledged, mut guest) = (0, 0, [0u64; 3]);
    for seed in first..first + count {
        match play(seed, planted) {
            Ok(story) => {
                steps += story.steps;
                acknowledged += u64::from(story.acknowledged);
                let (full, paced, refused) = story.guest;
                guest.iter_mut().zip([full, paced, refused]).for_each(|(sum, n)| *sum += u64::from(n));
                if told.opt_present("story") {
                    story.lines.iter().for_each(|l| println!("{l}"));
                }
            }
            Err(broken) => {
                broken.1.lines.iter().for_each(|l| println!("{l}"));
                println!("seed {seed}: {}", broken.0);
                return ExitCode::FAILURE;
            }
        }
    }
    println!("{count} seeds from {first}: no rule broken; {steps} steps, {acknowledged} acknowledged");
    let [full, paced, refused] = guest;
    println!("on trial: {full} at full speed, {paced} in turn, {refused} refused for the pace");
    ExitCode::SUCCESS
}
