use super::*;
use std::time::Instant;

/// Starts a server that echoes what it receives.
fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Ok(mut back) = stream.try_clone() else { continue };
            thread::spawn(move || std::io::copy(&mut &stream, &mut back));
        }
    });
    address
}

fn call(stream: &mut TcpStream, limit: Duration) -> Option<u8> {
    let mut byte = [0];
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(b"x").ok()?;
    stream.read_exact(&mut byte).ok().map(|()| byte[0])
}

#[test]
fn faults_affect_only_the_selected_pair() {
    let proxies = TcpProxies::new(2, &[echo(), echo()]).expect("ports");
    let connect = |a, b| TcpStream::connect(proxies.address(a, b)).expect("the proxy accepts the connection");
    let mut streams = [connect(0, 0), connect(0, 1), connect(1, 0), connect(1, 1)];
    let long = Duration::from_secs(5);
    assert!(streams.iter_mut().all(|s| call(s, long) == Some(b'x')));
    let slow = Duration::from_millis(60);
    proxies.set(|a, b| match (a, b) {
        (0, 0) => [Link { silent: true, ..Link::default() }, Link::default()],
        (1, 1) => [Link::default(), Link { delay: slow, ..Link::default() }],
        _ => [Link::default(); 2],
    });
    let started = Instant::now();
    assert_eq!(call(&mut streams[3], long), Some(b'x'));
    assert!(started.elapsed() >= slow);
    assert_eq!(call(&mut streams[0], Duration::from_millis(200)), None, "the cut direction delivers nothing");
    assert_eq!(call(&mut streams[1], long), Some(b'x'));
    // A restored direction delivers the held bytes, and loses none.
    proxies.set(|_, _| [Link::default(); 2]);
    let mut byte = [0];
    streams[0].set_read_timeout(Some(long)).expect("a limit");
    assert!(streams[0].read_exact(&mut byte).is_ok());
    proxies.close(|a, b| (a, b) == (1, 0));
    let mut remaining_bytes = Vec::new();
    streams[2].set_read_timeout(Some(long)).expect("a limit");
    assert!(streams[2].read_to_end(&mut remaining_bytes).is_ok_and(|n| n == 0), "the connection is closed");
    assert_eq!(call(&mut streams[1], long), Some(b'x'));
}
