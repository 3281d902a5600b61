//! A listening socket that whoever started the program left open for it, taken by its descriptor's number.

use socket2::{SockRef, Type};
use std::net::TcpListener;
use std::os::fd::BorrowedFd;

/// The listening stream socket that this descriptor holds, in a handle of its own. The descriptor itself stays as it
/// is; the socket is never shut down, since other processes accept from it as well.
///
/// # Errors
/// One line that says what is there instead.
pub fn listener(descriptor: &str) -> Result<TcpListener, String> {
    let number: i32 = descriptor.parse().ok().filter(|n| *n >= 0).ok_or("a descriptor's number is wanted")?;
    // SAFETY: it is borrowed for this function alone, which closes nothing; a number that is not open makes each
    // call on it fail with EBADF, and what it holds is asked before it is used.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
    let socket = SockRef::from(&borrowed);
    let kind = socket.r#type().map_err(|e| format!("no socket there: {e}"))?;
    if kind != Type::STREAM || !socket.is_listener().unwrap_or(false) {
        return Err("no listening stream socket".into());
    }
    let own = borrowed.try_clone_to_owned().map_err(|e| e.to_string())?;
    Ok(TcpListener::from(own))
}

#[cfg(test)]
mod tests {
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
}
