//! Relays gateways that are isolated from all control nodes to the control node that this gateway follows. The
//! relayed bytes are not inspected.

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

/// Maximum number of gateways relayed at once. Connections beyond it are closed, so that those gateways try another
/// relay.
const MAX_RELAYED: usize = 8;
const BUFFER_BYTES: usize = 4 << 10;
/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts and relays connections until the process ends. `port` is the port on which control nodes listen for
/// gateways.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener, port: u16) {
    let relayed_count = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A gateway that is itself relayed does not act as a relay.
        let control_node = gateway.control_node().filter(|_| relayed_count.get() < MAX_RELAYED);
        let Some(ip) = control_node else { continue };
        let relayed_count = relayed_count.clone();
        spawn_local(async move {
            relayed_count.set(relayed_count.get() + 1);
            relay_stream(stream, SocketAddr::new(ip, port)).await;
            relayed_count.set(relayed_count.get() - 1);
        });
    }
}

async fn relay_stream(mut gateway_stream: TcpStream, address: SocketAddr) {
    let Ok(mut node_stream) = connect(address).await else { return };
    if detect_dead_peer(&gateway_stream).is_ok() {
        // If one side closes, the other is closed as well.
        let _ =
            copy_bidirectional_with_sizes(&mut gateway_stream, &mut node_stream, BUFFER_BYTES, BUFFER_BYTES)
                .await;
    }
}
