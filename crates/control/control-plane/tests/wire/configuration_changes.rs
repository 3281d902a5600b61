//! Configuration changes over real sockets: concurrent, repeated, truncated and too large ones, and changes sent to a control
//! node that has lost contact with the others.

use crate::cluster::{
    call, configuration, connect, post_configuration, read_response, request_head, send, Cluster, TIMEOUT,
};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Instant;

#[test]
fn one_of_eight_changes_on_one_base_is_acknowledged() {
    let cluster = Cluster::launch(1);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(cluster.replace_configuration(0, &first), 200);
    // Eight concurrent changes, two for each version; then each is repeated, as after a lost response.
    let configurations: Vec<Vec<u8>> =
        (0..8).map(|n| configuration(3, 5 + n / 2, &format!("op{n}"), 3)).collect();
    let send_concurrently = || -> Vec<u16> {
        thread::scope(|s| {
            let calls: Vec<_> = configurations
                .iter()
                .map(|body| s.spawn(|| cluster.replace_configuration(0, body)))
                .collect();
            calls.into_iter().map(|c| c.join().unwrap()).collect()
        })
    };
    let statuses = send_concurrently();
    assert_eq!(statuses.iter().filter(|s| **s == 200).count(), 1, "{statuses:?}");
    assert!(statuses.iter().all(|s| [200, 412].contains(s)), "{statuses:?}");
    assert_eq!(send_concurrently(), statuses);
    let acknowledged = &configurations[statuses.iter().position(|s| *s == 200).unwrap()];
    assert_eq!(&cluster.read_configuration(), acknowledged);
    assert_eq!(cluster.replace_configuration(0, &first), 200, "also after a later change");
    assert_eq!(
        cluster.replace_configuration(0, &configuration(0, 3, "another", 3)),
        412,
        "another configuration of the same version"
    );

    // The same change eight times concurrently, from callers that do not wait for the response.
    let version = u32::from_str_radix(std::str::from_utf8(&acknowledged[18..26]).unwrap(), 16).unwrap();
    let large = configuration(version, 90, "large", 3000);
    for _ in 0..8 {
        let mut stream = connect(cluster.address(0)).unwrap();
        stream.write_all(request_head("POST", "/-/Configuration.Replace", large.len()).as_bytes()).unwrap();
        stream.write_all(&large).unwrap();
    }
    assert_eq!(cluster.replace_configuration(0, &large), 200);
    assert_eq!(cluster.read_configuration(), large);

    // Truncated: the sending side is closed after half of the body.
    let next = configuration(90, 91, "next", 3);
    let mut stream = connect(cluster.address(0)).unwrap();
    stream.write_all(request_head("POST", "/-/Configuration.Replace", next.len()).as_bytes()).unwrap();
    stream.write_all(&next[..next.len() / 2]).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    assert!(read_response(&mut stream).is_none_or(|response| response.status == 400));
    // A complete body that holds half a configuration.
    assert_eq!(cluster.replace_configuration(0, &next[..next.len() / 2]), 400);
    // Too large according to its content length.
    let mut stream = connect(cluster.address(0)).unwrap();
    stream.write_all(request_head("POST", "/-/Configuration.Replace", 40 << 20).as_bytes()).unwrap();
    let chunk = vec![b' '; 1 << 20];
    while stream.write_all(&chunk).is_ok() {}
    // The response may be lost with the connection reset that stops the sender.
    assert!(read_response(&mut stream).is_none_or(|response| response.status == 413));
    assert_eq!(cluster.read_configuration(), large, "none of the rejected changes is in force");
    assert_eq!(cluster.replace_configuration(0, &next), 200);
}

#[test]
fn isolated_node_neither_acknowledges_nor_refuses_changes() {
    let mut cluster = Cluster::launch(3);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(cluster.replace_configuration(0, &first), 200);
    cluster.kill(1);
    cluster.kill(2);
    // After a second without quorum contact the node refuses calls, so that callers try another node; until then its responses
    // must be correct.
    let heartbeat = br#"{"address":"10.0.0.9:80","nodeInfo":{"targetService":"s"},"status":{"state":"ready","callSequence":1}}"#;
    let deadline = Instant::now() + TIMEOUT;
    let mut status = 200;
    while status == 200 && Instant::now() < deadline {
        status = call(cluster.address(0), "POST", "/-/Instances.Heartbeat/i-1", heartbeat)
            .map_or(0, |response| response.status);
    }
    assert_eq!(status, 503, "the heartbeat is refused");
    let (acknowledged, new) = (first.clone(), configuration(3, 5, "new", 3));
    for body in [&acknowledged, &new, &configuration(9, 10, "stale", 3)] {
        let response = post_configuration(cluster.address(0), body).unwrap();
        assert!(response.status == 503 && response.retry_after, "{} to {}", response.status, body.len());
    }
    let read = call(cluster.address(0), "GET", "/-/Configuration.Read", &[]).unwrap();
    assert_eq!(read.status, 503, "an old configuration is not returned either");
    let deregistered = call(cluster.address(0), "POST", "/-/Instances.Deregister/i-1", b"{}").unwrap();
    assert_eq!(deregistered.status, 503);
    // One node restarts, which restores the quorum.
    cluster.start(2);
    assert_eq!(cluster.replace_configuration(2, &new), 200);
    assert_eq!(cluster.replace_configuration(0, &new), 200);
    assert_eq!(cluster.replace_configuration(0, &acknowledged), 200);
    assert_eq!(cluster.read_configuration(), new);
}

#[test]
fn frozen_leader_acknowledges_nothing_on_an_old_base() {
    let cluster = Cluster::launch(3);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(cluster.replace_configuration(0, &first), 200);
    let old_leader = cluster.leader(&first);
    let address = cluster.address(old_leader);
    cluster.signal(old_leader, "-STOP");
    // Two operators send changes with the same version and base: one waits in the frozen leader's socket, the other goes to the
    // remaining nodes, and also to the old leader as if its response had been lost.
    let (one, other) = (configuration(3, 5, "one", 3), configuration(3, 5, "other", 3));
    let replace_path = "/-/Configuration.Replace";
    let mut first_change = send(address, "POST", replace_path, &one);
    let mut second_change = send(address, "POST", replace_path, &other);
    let mut read = send(address, "GET", "/-/Configuration.Read", &[]);
    assert_eq!(cluster.replace_configuration(old_leader + 1, &other), 200);
    cluster.signal(old_leader, "-CONT");
    let read_status = |stream: &mut TcpStream| {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        read_response(stream).map_or(503, |response| response.status)
    };
    let statuses = [read_status(&mut first_change), read_status(&mut second_change), read_status(&mut read)];
    assert!([307, 412, 503].contains(&statuses[0]), "{statuses:?}");
    assert!([200, 307, 503].contains(&statuses[1]), "acknowledged or inconclusive: {statuses:?}");
    assert!([307, 503].contains(&statuses[2]), "it is no longer leader: {statuses:?}");
    assert_eq!(cluster.replace_configuration(old_leader, &other), 200);
    assert_eq!(cluster.replace_configuration(old_leader, &one), 412);
    assert_eq!(cluster.read_configuration(), other);
}

#[test]
fn operators_are_answered_by_a_node_that_is_full_of_idle_callers() {
    // More than the limit on callers of a node; each is idle after a heartbeat.
    const IDLE_CALLERS: usize = 300;
    let cluster = Cluster::launch(1);
    let first = configuration(0, 3, "first", 3);
    assert_eq!(cluster.replace_configuration(0, &first), 200);
    let idle_callers: Vec<TcpStream> =
        (0..IDLE_CALLERS).filter_map(|n| idle_caller(cluster.address(0), n)).collect();
    assert_eq!(idle_callers.len(), IDLE_CALLERS, "all are connected");
    let response = post_configuration(cluster.address(0), &configuration(3, 4, "second", 3));
    assert_eq!(response.map(|response| response.status), Some(200), "at the first attempt");
}

/// Opens a connection that stays idle after a heartbeat, answered or not.
fn idle_caller(address: SocketAddr, n: usize) -> Option<TcpStream> {
    let body = format!(
        r#"{{"address":"127.0.0.1:{}","nodeInfo":{{"targetService":"s"}},"status":{{"state":"ready","callSequence":1}}}}"#,
        1000 + n
    );
    let length = body.len();
    let mut stream = connect(address)?;
    let head = format!(
        "POST /-/Instances.Heartbeat/i-{n} HTTP/1.1\r\nHost: core\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(format!("{head}{body}").as_bytes()).ok()?;
    let mut first_bytes = [0; 64];
    let _ = stream.read(&mut first_bytes);
    Some(stream)
}
