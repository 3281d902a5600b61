//! Questions of the shell's, answered from what this prompter knows; each answer says how fresh that is.

use crate::view::View;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;
use wings::frame::{Reader, Writer};
use wings::message::{Answer, Query, Told};

/// A shell that asks nothing for so long is let go.
const SILENT: Duration = Duration::from_secs(600);

pub async fn serve(view: Rc<View>, mut reader: Reader, mut writer: Writer) {
    while let Ok(Ok(Some(query))) = timeout(SILENT, reader.read::<Query>()).await {
        if writer.write(&told(&view, query)).await.is_err() {
            return;
        }
    }
}

fn told(view: &View, query: Query) -> Told {
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
            Answer::Gateways(book.gateways().iter().map(|g| (g.clone(), followers.contains_key(g))).collect())
        }
        Query::Configuration => {
            let text = book.configuration().map(|c| String::from_utf8_lossy(&c.body).into_owned());
            Answer::Configuration(text)
        }
    };
    let touch_ms = duty.touch.map(|at| view.now().saturating_sub(at) / 1_000_000);
    Told { by: view.me.name.clone(), zone: view.settings.own.zone.clone(), touch_ms, answer }
}
