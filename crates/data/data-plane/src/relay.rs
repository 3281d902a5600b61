//! Gateways that are cut off from all prompters are let through to the one that this gateway follows. What passes is not
//! looked at.

use crate::playing::Gateway;
use process::net::{connect, detect_dead_peer};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::copy_bidirectional_with_sizes;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// So many at once; one more is closed and tries another gateway.
const MAX_RELAYED: usize = 8;
const BUFFER_BYTES: usize = 4 << 10;

pub async fn serve(playing: Rc<Gateway>, listener: TcpListener, port: u16) {
    let through = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(5)).await;
            continue;
        };
        // One that goes through others itself is no way.
        let prompter = playing.control_node().filter(|_| through.get() < MAX_RELAYED);
        let Some(ip) = prompter else { continue };
        let through = through.clone();
        spawn_local(async move {
            through.set(through.get() + 1);
            relay_stream(stream, SocketAddr::new(ip, port)).await;
            through.set(through.get() - 1);
        });
    }
}

async fn relay_stream(mut from: TcpStream, to: SocketAddr) {
    let Ok(mut to) = connect(to).await else { return };
    if detect_dead_peer(&from).is_ok() {
        // Either end's end is the other's.
        let _ = copy_bidirectional_with_sizes(&mut from, &mut to, BUFFER_BYTES, BUFFER_BYTES).await;
    }
}
