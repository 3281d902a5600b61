//! Gateways that an earlier version agreed on are known by their names alone.

use promptbook::Book;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// As it was kept: form, configuration, taken, leaving, gateways, and trials that are over, if there are any.
#[test]
fn an_earlier_book_is_read_with_all_that_it_says() {
    #[derive(Serialize)]
    struct Plain(u32, Option<()>, Vec<(u32, [u8; 16])>, BTreeMap<String, u64>, BTreeSet<String>);
    #[derive(Serialize)]
    struct Full(u32, Option<()>, Vec<(u32, [u8; 16])>, BTreeMap<String, u64>, BTreeSet<String>, Over);
    type Over = BTreeMap<String, (u64, u64)>;
    let (taken, leaving) = (vec![(7, [1; 16])], BTreeMap::from([("i".to_string(), 3)]));
    let gateways = BTreeSet::from(["g".to_string()]);
    let over = Over::from([("t".to_string(), (9, 4))]);
    let plain = Plain(1, None, taken.clone(), leaving.clone(), gateways.clone());
    let full = Full(1, None, taken, leaving, gateways, over);
    for (bytes, trials) in
        [(rmp_serde::to_vec(&plain).unwrap(), false), (rmp_serde::to_vec(&full).unwrap(), true)]
    {
        let book = Book::read(&bytes).expect("it is read");
        assert!(book.is_leaving("i") && book.is_over("t", 9) == trials);
        assert!(book.roster().wants("g", 1), "it says its life");
        assert_eq!(book.roster().parts("g", 0), 1, "and has its part meanwhile");
        assert_eq!(Book::read(&book.write()), Some(book));
    }
    let other = Plain(3, None, Vec::new(), BTreeMap::new(), BTreeSet::new());
    assert_eq!(Book::read(&rmp_serde::to_vec(&other).unwrap()), None, "of a form that nobody wrote");
}
