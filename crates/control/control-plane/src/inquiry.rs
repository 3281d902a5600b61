//! Questions of the shell's, answered from what this prompter knows; each answer says how fresh that is.

use crate::driver::Driver;
use control_node::{Prompter, Time};
use control_state::Book;
use messages::frame::{Reader, Writer};
use messages::message::{Answer, Query, Told, Trial};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use trial::Terms;

/// A shell that asks nothing for so long is let go.
const SILENT: Duration = Duration::from_secs(600);

pub async fn serve(driver: Rc<Driver>, mut reader: Reader, mut writer: Writer) {
    while let Ok(Ok(Some(query))) = timeout(SILENT, reader.read::<Query>()).await {
        let told = driver.with(|p, now| told(p, now, query));
        if writer.write(&told).await.is_err() {
            return;
        }
    }
}

fn told(prompter: &mut Prompter, now: Time, query: Query) -> Told {
    let (terms, touch) = (prompter.terms(), prompter.touch(now));
    let (book, cell, duty) = (prompter.book(), prompter.cell(), prompter.duty());
    let answer = match query {
        Query::Status => Answer::Status {
            id: prompter.me().to_string(),
            term: duty.term,
            holder: duty.leader.as_ref().map(ToString::to_string),
            voters: duty.members.iter().map(|(name, disk)| format!("{name}/{:08x}", *disk as u32)).collect(),
            configuration: book.configuration().map(|c| (c.version, c.place)),
            backends: cell.facts().count(),
            leaving: book.leaving().count(),
            gateways: book.gateways().len(),
            followers: prompter.followers().map(|(name, _)| name.clone()).collect(),
            prompters: prompter.prompters(),
        },
        Query::Backends => {
            let leaving = |id: &str, draining: bool| draining || book.is_leaving(id);
            Answer::Backends(cell.facts().map(|f| (f.clone(), leaving(&f.id, f.draining))).collect())
        }
        Query::Gateways => {
            let missed = |g: &String| {
                let by = prompter.followers().filter(|(_, missing)| missing.contains(g));
                by.map(|(name, _)| name.clone()).collect()
            };
            let follows = |g: &String| prompter.followers().any(|(name, _)| name == g);
            Answer::Gateways(book.gateways().iter().map(|g| (g.clone(), follows(g), missed(g))).collect())
        }
        Query::Configuration => {
            let text = book.configuration().map(|c| String::from_utf8_lossy(&c.body).into_owned());
            Answer::Configuration(text)
        }
        Query::Trials => Answer::Trials(trials(now, &terms, book, &prompter.trials(now))),
    };
    let touch_ms = touch.map(|at| now.saturating_sub(at) / 1_000_000);
    Told { by: prompter.me().name.clone(), zone: prompter.zone().into(), touch_ms, answer }
}

/// What is agreed on, with what the keeper knows, if that is this prompter.
fn trials(now: u64, terms: &Terms, book: &Book, kept: &[quota::Trial]) -> Vec<Trial> {
    let trial = |e: &trial::Ending| {
        let slow = terms.limits.get(&e.tenant).and_then(|l| l.slow)?;
        let kept = kept.iter().find(|k| k.tenant == e.tenant);
        let nodes = kept.map(|k| k.nodes.as_slice()).unwrap_or_default().iter();
        let ms = |t: u64| t / 1_000_000;
        Some(Trial {
            tenant: e.tenant.clone(),
            ends: e.ends,
            over: book.is_over(&e.tenant, e.ends),
            pace: slow.pace,
            wait_ms: ms(slow.wait),
            now: kept.map(|k| (k.is_slow, k.changes_in.map(ms))),
            nodes: nodes
                .map(|n| {
                    (
                        n.name.clone(),
                        ms(now.saturating_sub(n.heard)),
                        n.waiting,
                        u64::from(n.waited_us) / 1000,
                    )
                })
                .collect(),
        })
    };
    terms.endings.iter().filter_map(trial).collect()
}
