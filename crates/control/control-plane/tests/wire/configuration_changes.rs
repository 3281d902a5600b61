//! Orders over real sockets: sent at once, sent again, cut short, too large, and to a control-plane node that has lost the others.

use crate::core::{answer, call, configuration, connect, head, post, send, Core, PATIENCE};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Instant;

#[test]
fn one_of_eight_changes_on_one_base_is_acknowledged() {
    let core = Core::open(1);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(core.order(0, &first), 200);
    // Eight at once, two of them of one number; then each again, as after a lost answer.
    let orders: Vec<Vec<u8>> = (0..8).map(|n| configuration(3, 5 + n / 2, &format!("op{n}"), 3)).collect();
    let all_at_once = || -> Vec<u16> {
        thread::scope(|s| {
            let calls: Vec<_> = orders.iter().map(|o| s.spawn(|| core.order(0, o))).collect();
            calls.into_iter().map(|c| c.join().unwrap()).collect()
        })
    };
    let statuses = all_at_once();
    assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 1, "{statuses:?}");
    assert!(statuses.iter().all(|s| [200, 412].contains(s)), "{statuses:?}");
    assert_eq!(all_at_once(), statuses);
    let winner = &orders[statuses.iter().position(|s| *s == 200).unwrap()];
    assert_eq!(&core.read(), winner);
    assert_eq!(core.order(0, &first), 200, "also behind a later one");
    assert_eq!(core.order(0, &configuration(0, 3, "another", 3)), 412, "other bytes under its number");

    // The same one eight times at once, from callers that do not wait for the answer.
    let version = u32::from_str_radix(std::str::from_utf8(&winner[18..26]).unwrap(), 16).unwrap();
    let large = configuration(version, 90, "large", 3000);
    for _ in 0..8 {
        let mut stream = connect(core.address(0)).unwrap();
        stream.write_all(head("POST", "/-/Configuration.Replace", large.len()).as_bytes()).unwrap();
        stream.write_all(&large).unwrap();
    }
    assert_eq!(core.order(0, &large), 200);
    assert_eq!(core.read(), large);

    // Cut short: half of the body, and no more.
    let next = configuration(90, 91, "next", 3);
    let mut stream = connect(core.address(0)).unwrap();
    stream.write_all(head("POST", "/-/Configuration.Replace", next.len()).as_bytes()).unwrap();
    stream.write_all(&next[..next.len() / 2]).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert!(answer(&mut stream).is_none_or(|a| a.status == 400));
    // Whole as a body, and half a configuration.
    assert_eq!(core.order(0, &next[..next.len() / 2]), 400);
    // Too large, by what it says.
    let mut stream = connect(core.address(0)).unwrap();
    stream.write_all(head("POST", "/-/Configuration.Replace", 40 << 20).as_bytes()).unwrap();
    let piece = vec![b' '; 1 << 20];
    while stream.write_all(&piece).is_ok() {}
    // Its answer may be lost with the reset that ends what it still sends.
    assert!(answer(&mut stream).is_none_or(|a| a.status == 413));
    assert_eq!(core.read(), large, "nothing of all that is in force");
    assert_eq!(core.order(0, &next), 200);
}

#[test]
fn isolated_node_neither_acknowledges_nor_refuses_changes() {
    let mut core = Core::open(3);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(core.order(0, &first), 200);
    core.kill(1);
    core.kill(2);
    // A second of silence sends callers on; what is said until then must be true.
    let beat = br#"{"address":"10.0.0.9:80","nodeInfo":{"targetService":"s"},"status":{"state":"ready","callSequence":1}}"#;
    let until = Instant::now() + PATIENCE;
    let mut ready = 200;
    while ready == 200 && Instant::now() < until {
        ready = call(core.address(0), "POST", "/-/Instances.Heartbeat/i-1", beat).map_or(0, |a| a.status);
    }
    assert_eq!(ready, 503, "a backend is sent on");
    let (taken, new) = (first.clone(), configuration(3, 5, "new", 3));
    for order in [&taken, &new, &configuration(9, 10, "stale", 3)] {
        let answer = post(core.address(0), order).unwrap();
        assert!(answer.status == 503 && answer.retry_after, "{} to {}", answer.status, order.len());
    }
    let read = call(core.address(0), "GET", "/-/Configuration.Read", &[]).unwrap();
    assert_eq!(read.status, 503, "nor is an old one read");
    let gone = call(core.address(0), "POST", "/-/Instances.Deregister/i-1", b"{}").unwrap();
    assert_eq!(gone.status, 503);
    // One comes back: the majority is whole again.
    core.start(2);
    assert_eq!(core.order(2, &new), 200);
    assert_eq!(core.order(0, &new), 200);
    assert_eq!(core.order(0, &taken), 200);
    assert_eq!(core.read(), new);
}

#[test]
fn frozen_leader_acknowledges_nothing_on_an_old_base() {
    let core = Core::open(3);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(core.order(0, &first), 200);
    let old = core.leader(&first);
    let at = core.address(old);
    core.signal(old, "-STOP");
    // Two operators with one number on one base: one order lies in the leader's sockets, the other goes to the rest. It is sent
    // to the old leader, too, as after a lost answer.
    let (one, other) = (configuration(3, 5, "one", 3), configuration(3, 5, "other", 3));
    let replace = "/-/Configuration.Replace";
    let mut lies = send(at, "POST", replace, &one);
    let mut again = send(at, "POST", replace, &other);
    let mut reads = send(at, "GET", "/-/Configuration.Read", &[]);
    assert_eq!(core.order(old + 1, &other), 200);
    core.signal(old, "-CONT");
    let patient = |stream: &mut TcpStream| {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        answer(stream).map_or(503, |a| a.status)
    };
    let statuses = [patient(&mut lies), patient(&mut again), patient(&mut reads)];
    assert!([307, 412, 503].contains(&statuses[0]), "{statuses:?}");
    assert!([200, 307, 503].contains(&statuses[1]), "taken, or unclear: {statuses:?}");
    assert!([307, 503].contains(&statuses[2]), "it leads no more: {statuses:?}");
    assert_eq!(core.order(old, &other), 200);
    assert_eq!(core.order(old, &one), 412);
    assert_eq!(core.read(), other);
}

#[test]
fn operators_are_answered_by_a_node_that_is_full_of_idle_callers() {
    // As many as a node takes, and some more, each idle behind a heartbeat.
    const IDLE_CALLERS: usize = 300;
    let core = Core::open(1);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(core.order(0, &first), 200);
    let idle: Vec<TcpStream> = (0..IDLE_CALLERS).filter_map(|n| idle_caller(core.address(0), n)).collect();
    assert_eq!(idle.len(), IDLE_CALLERS, "all have connected");
    let answer = post(core.address(0), &configuration(3, 4, "second", 3));
    assert_eq!(answer.map(|answer| answer.status), Some(200), "at the first try");
}

/// A connection that stays open behind a heartbeat, answered or not.
fn idle_caller(at: SocketAddr, n: usize) -> Option<TcpStream> {
    let body = format!(
        r#"{{"address":"127.0.0.1:{}","nodeInfo":{{"targetService":"s"}},"status":{{"state":"ready","callSequence":1}}}}"#,
        1000 + n
    );
    let length = body.len();
    let mut stream = connect(at)?;
    let head = format!(
        "POST /-/Instances.Heartbeat/i-{n} HTTP/1.1\r\nHost: core\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut first_bytes = [0; 64];
    let _ = stream.read(&mut first_bytes);
    Some(stream)
}
