//! A configuration on its way to a follower: whole, or as the difference to one that it holds, in parts, so that other news
//! goes between them and a slow link is never filled for long. A follower that folds a difference holds byte for byte what was
//! agreed on, or asks for the whole. No I/O.

use crate::taken::{mark, Mark};
use crate::{Configuration, Difference, Place};
use configuration::Version;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::Arc;

/// Bytes of one part.
pub const PART: usize = 16 << 10;
/// Bytes that a follower has yet to say it has got: 0.13 s at 2 Mbit/s, well within the time after which a gateway that hears
/// nothing of its rights is alone.
pub const WINDOW: usize = 2 * PART;
/// Differences that are kept, in bytes and in number: whoever is further behind gets the whole.
const KEPT: usize = 256 << 10;
const STEPS: usize = 256;
/// The longest configuration that is put together.
const LONGEST: usize = 16 << 20;

/// What the parts that follow come to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// They are the difference to the configuration of this place; none: the whole.
    pub from: Option<Place>,
    pub place: Place,
    pub version: Version,
    /// Of the configuration's bytes.
    pub mark: Mark,
    /// How many bytes come.
    pub length: u32,
}

/// A part, with a head if it is the first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    pub head: Option<Head>,
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Step {
    from: Place,
    head: Head,
    difference: Arc<Vec<u8>>,
}

/// The latest differences, for all followers.
#[derive(Clone, Debug, Default)]
pub struct Steps {
    steps: VecDeque<Step>,
    bytes: usize,
    /// The mark of the configuration of this place, which is the same for all who get it whole.
    whole: Cell<Option<(Place, Mark)>>,
}

impl Steps {
    /// The book has gone from one configuration to the next.
    pub fn went(&mut self, old: &Configuration, new: &Configuration) {
        if self.steps.back().is_some_and(|s| s.head.place != old.place) {
            // No way leads on from what came before.
            *self = Steps::default();
        }
        let difference = Difference::between(&old.body, &new.body).write();
        if difference.len() >= new.body.len() {
            return;
        }
        let head = Head { from: Some(old.place), length: difference.len() as u32, ..self.whole(new) };
        self.bytes += difference.len();
        self.steps.push_back(Step { from: old.place, head, difference: Arc::new(difference) });
        while self.bytes > KEPT || self.steps.len() > STEPS {
            let Some(gone) = self.steps.pop_front() else { break };
            self.bytes -= gone.difference.len();
        }
    }

    /// The first step from `held` to the newest, if there is a way that is shorter than the whole.
    fn from(&self, held: Place, newest: &Configuration) -> Option<&Step> {
        let first = self.steps.iter().position(|s| s.from == held)?;
        let way = || self.steps.iter().skip(first);
        let bytes: usize = way().map(|s| s.difference.len()).sum();
        let leads = way().last().is_some_and(|s| s.head.place == newest.place);
        self.steps.get(first).filter(|_| leads && bytes < newest.body.len())
    }

    fn whole(&self, c: &Configuration) -> Head {
        let known = self.whole.get().filter(|(place, _)| *place == c.place);
        let mark = known.map_or_else(|| mark(&c.body), |(_, mark)| mark);
        self.whole.set(Some((c.place, mark)));
        Head { from: None, place: c.place, version: c.version, mark, length: c.body.len() as u32 }
    }

    /// Bytes that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[derive(Clone, Debug)]
enum Load {
    Whole(Arc<Configuration>),
    Difference(Arc<Vec<u8>>),
}

impl Load {
    fn bytes(&self) -> &[u8] {
        match self {
            Load::Whole(c) => &c.body,
            Load::Difference(bytes) => bytes,
        }
    }
}

/// What is told to one follower.
#[derive(Clone, Debug, Default)]
pub struct Sender {
    /// What it holds once all parts that were sent have come.
    held: Place,
    /// What is on its way: how much was sent and how much it has got.
    under_way: Option<(Head, Load, usize, usize)>,
}

impl Sender {
    /// The follower says that it holds the configuration of this place; 0: none.
    pub fn new(held: Place) -> Self {
        Sender { held, under_way: None }
    }

    /// The next part, if there is one and there is room for it.
    pub fn part(&mut self, steps: &Steps, newest: Option<&Arc<Configuration>>) -> Option<Part> {
        if self
            .under_way
            .as_ref()
            .is_some_and(|(.., load, sent, got)| (*sent, *got) == (load.bytes().len(), *sent))
        {
            self.under_way = None;
        }
        let first = self.under_way.is_none();
        if first {
            let newest = newest.filter(|c| c.place > self.held)?;
            let begun = match steps.from(self.held, newest) {
                Some(step) => (step.head.clone(), Load::Difference(step.difference.clone())),
                None => (steps.whole(newest), Load::Whole(newest.clone())),
            };
            self.under_way = Some((begun.0, begun.1, 0, 0));
        }
        let (head, load, sent, got) = self.under_way.as_mut()?;
        let (bytes, from) = (load.bytes(), *sent);
        if !first && from == bytes.len() || from - *got >= WINDOW {
            return None;
        }
        let to = bytes.len().min(from + PART);
        *sent = to;
        self.held = head.place;
        Some(Part { head: first.then(|| head.clone()), bytes: bytes[from..to].to_vec() })
    }

    /// It has got so many bytes of what is on its way to this place.
    pub fn got(&mut self, place: Place, bytes: u32) {
        if let Some((head, _, sent, got)) = &mut self.under_way {
            if head.place == place {
                *got = (*got).max(bytes as usize).min(*sent);
            }
        }
    }

    /// It could not fold a difference: the whole comes next.
    pub fn lacks(&mut self) {
        *self = Sender::default();
    }
}

/// What a follower makes of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// More comes: so many bytes have come of what leads to this place.
    More { place: Place, bytes: u32 },
    /// All bytes have come.
    Whole { configuration: Arc<Configuration>, bytes: u32 },
    /// What it holds is not what the difference is to: the whole is wanted.
    Lacks,
    /// These are no parts of one whole.
    Wrong,
}

/// Puts parts together, on one connection.
#[derive(Clone, Debug, Default)]
pub struct Receiver(Option<(Head, Vec<u8>)>);

impl Receiver {
    /// Something has begun to come, and is not whole.
    pub fn is_under_way(&self) -> bool {
        self.0.is_some()
    }

    pub fn receive(&mut self, held: Option<&Configuration>, part: Part) -> Received {
        if let Some(head) = part.head {
            self.0 = Some((head, Vec::new()));
        }
        let Some((head, bytes)) = &mut self.0 else { return Received::Wrong };
        if bytes.len() + part.bytes.len() > (head.length as usize).min(LONGEST) {
            return Received::Wrong;
        }
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() < head.length as usize {
            return Received::More { place: head.place, bytes: bytes.len() as u32 };
        }
        let Some((head, bytes)) = self.0.take() else { return Received::Wrong };
        let body = match head.from {
            None => Some(bytes),
            Some(from) => {
                let held = held.filter(|c| c.place == from);
                held.zip(Difference::read(&bytes)).and_then(|(held, d)| d.fold(&held.body, LONGEST))
            }
        };
        match (body.filter(|body| mark(body) == head.mark), head.from) {
            (Some(body), _) => {
                let configuration = Configuration { version: head.version, place: head.place, body };
                Received::Whole { configuration: Arc::new(configuration), bytes: head.length }
            }
            (None, Some(_)) => Received::Lacks,
            (None, None) => Received::Wrong,
        }
    }
}
