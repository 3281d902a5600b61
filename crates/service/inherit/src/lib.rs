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
mod tests;
