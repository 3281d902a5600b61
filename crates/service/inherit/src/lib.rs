//! Takes over a listening socket that the parent process left open, by its file descriptor number.

use socket2::{SockRef, Type};
use std::net::TcpListener;
use std::os::fd::BorrowedFd;

/// Returns a new handle to the listening stream socket behind this descriptor. The descriptor itself stays open and
/// unchanged; the socket is never shut down, since other processes accept from it as well.
///
/// # Errors
/// Returns one line that describes what was found instead.
pub fn listener(descriptor: &str) -> Result<TcpListener, String> {
    let number: i32 =
        descriptor.parse().ok().filter(|n| *n >= 0).ok_or("expected a file descriptor number")?;
    // SAFETY: the descriptor is borrowed only within this function, which does not close it. If the number is not open,
    // each call on it fails with EBADF, and the socket's type is checked before it is used.
    #[allow(unsafe_code)]
    let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
    let socket = SockRef::from(&borrowed);
    let kind = socket.r#type().map_err(|e| format!("not a socket: {e}"))?;
    if kind != Type::STREAM || !socket.is_listener().unwrap_or(false) {
        return Err("no listening stream socket".into());
    }
    let owned = borrowed.try_clone_to_owned().map_err(|e| e.to_string())?;
    Ok(TcpListener::from(owned))
}

#[cfg(test)]
mod tests;
