//! Gateways that are isolated from all control nodes are relayed to the one that this gateway follows. What passes is
//! not looked at.

use crate::gateway::Gateway;
use sockets::{connect, detect_dead_peer};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::copy_bidirectional_with_sizes;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Gateways that are relayed at once, at most; one more is closed and tries another relay.
const MAX_RELAYED: usize = 8;
const BUFFER_BYTES: usize = 4 << 10;
/// After a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Relays for as long as the process lives. `port`: where control nodes listen for gateways.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, port: u16) {
    let relayed = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A gateway that is relayed itself is no relay.
        let control_node = gateway.control_node().filter(|_| relayed.get() < MAX_RELAYED);
        let Some(ip) = control_node else { continue };
        let relayed = relayed.clone();
        spawn_local(async move {
            relayed.set(relayed.get() + 1);
            relay_stream(stream, SocketAddr::new(ip, port)).await;
            relayed.set(relayed.get() - 1);
        });
    }
}

async fn relay_stream(mut from: TcpStream, to: SocketAddr) {
    let Ok(mut to) = connect(to).await else { return };
    if detect_dead_peer(&from).is_ok() {
        // When one end closes, so does the other.
        let _ = copy_bidirectional_with_sizes(&mut from, &mut to, BUFFER_BYTES, BUFFER_BYTES).await;
    }
}
