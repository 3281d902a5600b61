//! The replicated state and its commands, as they stand in the log, in snapshots and on disks.

use compatibility::Golden;
use control_state::{mark, Applied, Book, Word};

fn configuration(base: u32, version: u32, fill: u8) -> Word {
    Word::Configuration { base, version, body: vec![fill; 20] }
}

#[test]
fn commands_keep_their_bytes() {
    let mut golden = Golden::open("commands");
    let words = [
        ("configuration", configuration(0, 1, b'x')),
        ("change", Word::Change { base: 1, version: 2, mark: mark(b"new"), difference: vec![1, 2, 3] }),
        ("drain", Word::Leaving { instance: "i-1".into() }),
        ("gateway", Word::Gateway { name: "edge-1".into() }),
        ("trial-expired", Word::TrialOver { tenant: "t1".into(), ends: 1_798_758_000_000 }),
    ];
    for (name, word) in &words {
        let recorded = golden.assert_bytes(name, &word.write());
        assert_eq!(Word::read(&recorded).as_ref(), Some(word), "{name}");
    }
    assert_eq!(golden.len(), words.len());
}

/// A long configuration that changes little, whose difference is an entry of the log.
fn long(version: u32) -> Vec<u8> {
    let routes: Vec<String> =
        (0..600).map(|n| format!(r#"{{"name":"route-{n}","timeoutMs":{n}}}"#)).collect();
    format!(r#"{{"configVersion":"{version}","routes":[{}]}}"#, routes.join(",")).into_bytes()
}

#[test]
fn the_state_keeps_its_bytes() {
    let mut golden = Golden::open("state");
    let mut book = Book::new();
    golden.assert_bytes("new", &book.write());
    book.apply(2, &configuration(0, 1, b'x'));
    book.apply(3, &Word::Leaving { instance: "i-1".into() });
    book.apply(4, &Word::Gateway { name: "edge-1".into() });
    let recorded = golden.assert_bytes("without-trials", &book.write());
    assert_eq!(Book::read(&recorded).as_ref(), Some(&book));
    book.apply(5, &Word::TrialOver { tenant: "t1".into(), ends: 1_798_758_000_000 });
    book.apply(6, &Word::Configuration { base: 1, version: 2, body: long(2) });
    let change = Word::Configuration { base: 2, version: 3, body: long(3) }.shortened(&book);
    assert!(matches!(change, Word::Change { .. }), "it goes as its difference");
    golden.assert_bytes("difference", &change.write());
    assert_eq!(book.apply(7, &change), Applied::Changed);
    let recorded = golden.assert_bytes("all", &book.write());
    assert_eq!(Book::read(&recorded).as_ref(), Some(&book));
    assert_eq!(golden.len(), 4);
}
