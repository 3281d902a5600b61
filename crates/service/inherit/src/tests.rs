use super::listener;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

#[test]
fn listening_socket_is_taken_and_the_descriptor_stays_open() {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = first.local_addr().unwrap();
    let taken = listener(&first.as_raw_fd().to_string()).unwrap();
    assert_eq!(taken.local_addr().unwrap(), address);
    drop(taken);
    let _client = TcpStream::connect(address).unwrap();
    first.accept().unwrap();
}

#[test]
fn other_descriptors_are_refused_with_a_reason() {
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listening = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listening.local_addr().unwrap()).unwrap();
    for invalid in ["", "seven", "-1", "7.0", "1000000"] {
        assert!(listener(invalid).is_err(), "{invalid:?}");
    }
    for fd in [datagrams.as_raw_fd(), stream.as_raw_fd()] {
        assert_eq!(listener(&fd.to_string()).unwrap_err(), "no listening stream socket");
    }
}
