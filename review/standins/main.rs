//! Stand-ins for clients, backends, the operator and the platform, and the scenarios of the review that are scripts.
//! Usage: `standins SCENARIO FOLDER`, from the repository's root. It writes FOLDER/record.txt and exits with 1 if the
//! rule was broken, 0 if it held, 2 if the scenario could not run. `TROUBLE=0`: the same without the disruption.

mod repeated_name;
mod silent_backends;
mod system;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() != 3 {
        eprintln!("usage: standins silent-backends|repeated-name FOLDER");
        exit(2);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let run = match arguments[1].as_str() {
        "silent-backends" => silent_backends::run,
        "repeated-name" => repeated_name::run,
        other => {
            eprintln!("{other}: no such scenario");
            exit(2);
        }
    };
    let record = match system::Record::create(&arguments[2]) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{}: {error}", arguments[2]);
            exit(2);
        }
    };
    record.line(&format!("scenario {}, trouble {}", arguments[1], if trouble { "on" } else { "off" }));
    let code = match run(&record, trouble) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(reason) => {
            record.line(&format!("could not run: {reason}"));
            2
        }
    };
    let verdict = ["the rule held", "THE RULE WAS BROKEN", "could not run"][code as usize];
    record.line(verdict);
    println!("{verdict}");
    exit(code);
}
