use super::listener;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

#[test]
fn a_listening_socket_is_taken_and_the_descriptor_stays() {
    let first = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = first.local_addr().unwrap();
    let taken = listener(&first.as_raw_fd().to_string()).unwrap();
    assert_eq!(taken.local_addr().unwrap(), address);
    drop(taken);
    let _client = TcpStream::connect(address).unwrap();
    first.accept().unwrap();
}

#[test]
fn whatever_else_it_is_is_said() {
    let datagrams = UdpSocket::bind("127.0.0.1:0").unwrap();
    let listening = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listening.local_addr().unwrap()).unwrap();
    for wrong in ["", "seven", "-1", "7.0", "1000000"] {
        assert!(listener(wrong).is_err(), "{wrong:?}");
    }
    for fd in [datagrams.as_raw_fd(), stream.as_raw_fd()] {
        assert_eq!(listener(&fd.to_string()).unwrap_err(), "no listening stream socket");
    }
}
