//! The book as earlier versions kept it: gateways by their names alone. They are read with a life that is nobody's, so that each
//! that is there says its own.

use crate::taken::Taken;
use crate::{Book, Configuration, Place, FORM};
use boxoffice::Roster;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

#[derive(Deserialize)]
struct Earlier {
    form: u32,
    configuration: Option<Arc<Configuration>>,
    taken: Taken,
    leaving: BTreeMap<String, Place>,
    gateways: BTreeSet<String>,
    #[serde(default)]
    over: BTreeMap<String, (u64, Place)>,
}

/// None, if it is none of ours.
pub fn read(bytes: &[u8]) -> Option<Book> {
    let e = rmp_serde::from_slice(bytes).ok().filter(|e: &Earlier| e.form == 1)?;
    let Earlier { configuration, taken, leaving, gateways, over, .. } = e;
    Some(Book { form: FORM, configuration, taken, leaving, roster: Roster::of_names(gateways), over })
}
