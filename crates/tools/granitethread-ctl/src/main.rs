//! foyer: a shell for queries on the fleet's state. It asks prompters what they know, and says how fresh that is and
//! whom it could not reach; it guesses nothing.
#![forbid(unsafe_code)]

mod operator;
mod show;

use messages::frame;
use messages::{Greeting, Query, QueryAnswer, QueryResponse, MESSAGE_FORMAT};
use process::sockets::connect;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{IpAddr, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::timeout;

/// A prompter that says nothing for so long is not reached.
const WAIT: Duration = Duration::from_millis(1500);

const HELP: &str = "status         each prompter: who holds the duty, voters, configuration, counts\n\
                    backends       service, address, zone, state of each\n\
                    gateways       which are agreed on, and whom they follow\n\
                    configuration  the one that is agreed on, as it was sent\n\
                    trials         when each ends, which are over, pace and waits by gateway\n\
                    check FILE     whether a configuration is sound, and where not\n\
                    diff FILE      what it would change of what stands\n\
                    apply FILE     send it as it is\n\
                    trial TENANT ends=TIME pace=N wait=MS, or off: in the next version, on what stands\n\
                    help, quit";

fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optflag("h", "help", "print this and end");
    options.optmulti("k", "control", "a prompter's control address, for diff, apply and trial", "IP:PORT");
    options.optflag("j", "json", "answers as JSON, one object a line");
    options.optopt("c", "command", "ask this and end", "QUERY");
    options.optmulti(
        "a",
        "at",
        "a prompter's internal address; all that it knows of are asked too",
        "IP:PORT",
    );
    let told = match options.parse(std::env::args().skip(1)) {
        Ok(told) => told,
        Err(e) => return fail(&format!("{e}; --help says what is known")),
    };
    if told.opt_present("h") {
        print!(
            "{}\nQueries:\n{HELP}\n",
            options.usage("foyer: queries on the fleet's state.\n\nUsage: foyer -a IP:PORT [-c QUERY]")
        );
        return ExitCode::SUCCESS;
    }
    let addresses = |name: &str| -> Result<Vec<SocketAddr>, String> {
        told.opt_strs(name).iter().map(|a| a.parse().map_err(|e| format!("--{name} {a}: {e}"))).collect()
    };
    let (at, controls) = match (addresses("at"), addresses("control")) {
        (Ok(at), Ok(controls)) => (at, controls),
        (Err(e), _) | (_, Err(e)) => return fail(&e),
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return fail(&format!("cannot start the event loop: {e}")),
    };
    let json = told.opt_present("json");
    let ask = |line: &str| runtime.block_on(answer(line, &at, &controls, json));
    if let Some(command) = told.opt_str("command") {
        return match ask(&command) {
            Ok(text) => say(&text),
            Err(why) => fail(&why),
        };
    }
    let mut editor = match rustyline::DefaultEditor::new() {
        Ok(editor) => editor,
        Err(e) => return fail(&e.to_string()),
    };
    while let Ok(line) = editor.readline("foyer> ") {
        let line = line.trim();
        match line {
            "" => continue,
            "quit" | "exit" => break,
            "help" => drop(say(HELP)),
            _ => match ask(line) {
                Ok(text) => drop(say(&text)),
                Err(why) => eprintln!("{why}"),
            },
        }
        // What can't be remembered was asked all the same.
        let _ = editor.add_history_entry(line);
    }
    ExitCode::SUCCESS
}

fn say(text: &str) -> ExitCode {
    let done = writeln!(std::io::stdout(), "{text}");
    if done.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn fail(why: &str) -> ExitCode {
    eprintln!("foyer: {why}");
    ExitCode::FAILURE
}

/// Asks whom the query is for, and words what came.
async fn answer(
    line: &str,
    at: &[SocketAddr],
    controls: &[SocketAddr],
    json: bool,
) -> Result<String, String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    if matches!(words[..], ["diff" | "apply", _] | ["trial", _, ..]) && controls.is_empty() {
        return Err("--control IP:PORT is wanted for that".into());
    }
    match words[..] {
        ["check", file] => return operator::check(file),
        ["diff", file] => return operator::diff(controls, file).await,
        ["apply", file] => return operator::apply(controls, file).await,
        ["trial", tenant, ref words @ ..] => return operator::trial(controls, tenant, words).await,
        _ => {}
    }
    let query = match line {
        "status" => Query::Status,
        "backends" => Query::Backends,
        "gateways" => Query::Gateways,
        "configuration" => Query::Configuration,
        "trials" => Query::Trials,
        other => return Err(format!("{other:?} is no query; help names them")),
    };
    if at.is_empty() {
        return Err("--at IP:PORT is wanted for that".into());
    }
    let (told, missing) = all(query, at).await;
    if told.is_empty() {
        return Err(format!("nobody was reached at {at:?}"));
    }
    Ok(if json { show::json(&told, &missing) } else { show::words(query, &told, &missing) })
}

/// Asks those that were named and all that they know of. Who answered, and who did not.
async fn all(query: Query, at: &[SocketAddr]) -> (Vec<QueryResponse>, Vec<IpAddr>) {
    let port = at[0].port();
    let mut open: BTreeSet<SocketAddr> = at.iter().copied().collect();
    let mut asked = BTreeSet::new();
    let (mut told, mut missing) = (Vec::new(), Vec::new());
    while let Some(next) = open.pop_first() {
        if !asked.insert(next) {
            continue;
        }
        match timeout(WAIT, one(query, next)).await {
            Ok(Ok((status, answer))) => {
                if let QueryAnswer::Status { control_nodes: prompters, .. } = &status.answer {
                    let ips = prompters.iter().filter_map(|(name, _)| name.parse::<IpAddr>().ok());
                    open.extend(ips.map(|ip| SocketAddr::new(ip, port)).filter(|a| !asked.contains(a)));
                }
                told.push(answer);
            }
            _ => missing.push(next.ip()),
        }
    }
    (told, missing)
}

async fn one(query: Query, at: SocketAddr) -> std::io::Result<(QueryResponse, QueryResponse)> {
    let (mut reader, mut writer) = frame::split(connect(at).await?);
    reader.accept_long_frames();
    writer.write(&Greeting::Shell { format: MESSAGE_FORMAT }).await?;
    let gone = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    writer.write(&Query::Status).await?;
    let status: QueryResponse = reader.read().await?.ok_or_else(gone)?;
    writer.write(&query).await?;
    let answer: QueryResponse = reader.read().await?.ok_or_else(gone)?;
    Ok((status, answer))
}
