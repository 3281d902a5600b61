//! Gateways that are cut off from all prompters are let through to the one that this gateway follows. What passes is not
//! looked at.

use crate::playing::Playing;
use process::net::{connect, notice};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::copy_bidirectional_with_sizes;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// So many at once; one more is closed and tries another gateway.
const MOST: usize = 8;
const BUFFER: usize = 4 << 10;

pub async fn serve(playing: Rc<Playing>, listener: TcpListener, port: u16) {
    let through = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        // One that goes through others itself is no way.
        let prompter = playing.prompter().filter(|_| through.get() < MOST);
        let Some(ip) = prompter else { continue };
        let through = through.clone();
        spawn_local(async move {
            through.set(through.get() + 1);
            pass(stream, SocketAddr::new(ip, port)).await;
            through.set(through.get() - 1);
        });
    }
}

async fn pass(mut from: TcpStream, to: SocketAddr) {
    let Ok(mut to) = connect(to).await else { return };
    if notice(&from).is_ok() {
        // Either end's end is the other's.
        let _ = copy_bidirectional_with_sizes(&mut from, &mut to, BUFFER, BUFFER).await;
    }
}
