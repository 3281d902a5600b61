//! Questions of the shell's, answered from what this prompter knows; each answer says how fresh that is.

use crate::agreement::Agreement;
use crate::view::View;
use curtain::Terms;
use promptbook::Book;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use wings::frame::{Reader, Writer};
use wings::message::{Answer, Query, Told, Trial};

/// A shell that asks nothing for so long is let go.
const SILENT: Duration = Duration::from_secs(600);

pub async fn serve(view: Rc<View>, agreement: Agreement, mut reader: Reader, mut writer: Writer) {
    while let Ok(Ok(Some(query))) = timeout(SILENT, reader.read::<Query>()).await {
        if writer.write(&told(&view, &agreement, query)).await.is_err() {
            return;
        }
    }
}

fn told(view: &View, agreement: &Agreement, query: Query) -> Told {
    let terms = view.current.terms(view);
    let (book, cell, duty) = (view.book.borrow(), view.cell.borrow(), view.duty.borrow());
    let answer = match query {
        Query::Status => Answer::Status {
            id: view.me.to_string(),
            term: duty.term,
            holder: duty.holder.as_ref().map(ToString::to_string),
            voters: duty.members.iter().map(|(name, disk)| format!("{name}/{:08x}", *disk as u32)).collect(),
            configuration: book.configuration().map(|c| (c.version, c.place)),
            backends: cell.facts().count(),
            leaving: book.leaving().count(),
            gateways: book.gateways().len(),
            followers: view.followers.borrow().keys().cloned().collect(),
            prompters: view.prompters(),
        },
        Query::Backends => {
            let leaving = |id: &str, draining: bool| draining || book.is_leaving(id);
            Answer::Backends(cell.facts().map(|f| (f.clone(), leaving(&f.id, f.draining))).collect())
        }
        Query::Gateways => {
            let followers = view.followers.borrow();
            let missed = |g: &String| {
                let by = followers.iter().filter(|(_, (_, missing))| missing.contains(g));
                by.map(|(name, _)| name.clone()).collect()
            };
            let told = |g: &String| (g.clone(), followers.contains_key(g), missed(g));
            Answer::Gateways(book.gateways().iter().map(told).collect())
        }
        Query::Configuration => {
            let text = book.configuration().map(|c| String::from_utf8_lossy(&c.body).into_owned());
            Answer::Configuration(text)
        }
        Query::Trials => Answer::Trials(trials(view.now(), &terms, &book, &agreement.trials())),
    };
    let touch_ms = view.touch().map(|at| view.now().saturating_sub(at) / 1_000_000);
    Told { by: view.me.name.clone(), zone: view.settings.own.zone.clone(), touch_ms, answer }
}

/// What is agreed on, with what the keeper knows, if that is this prompter.
fn trials(now: u64, terms: &Terms, book: &Book, kept: &[boxoffice::Trial]) -> Vec<Trial> {
    let trial = |e: &curtain::Ending| {
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
