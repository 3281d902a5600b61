//! Connections of other control nodes, of gateways, and of `granitethread-ctl`.

use crate::driver::Driver;
use crate::links::PeerLinks;
use crate::subscribers::Subscription;
use crate::{queries, subscribers};
use messages::{frame, Greeting, MESSAGE_FORMAT};
use sockets::detect_dead_peer;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time limit for the greeting of a new connection.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on concurrent connections; any further one is closed.
const MAX_CONNECTIONS: usize = 384;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections until the process exits.
pub async fn accept(driver: Rc<Driver>, links: Rc<PeerLinks>, listener: TcpListener) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= MAX_CONNECTIONS || detect_dead_peer(&stream).is_err() {
            continue;
        }
        let (driver, links, open) = (driver.clone(), links.clone(), open.clone());
        spawn_local(async move {
            open.set(open.get() + 1);
            serve(driver, links, stream).await;
            open.set(open.get() - 1);
        });
    }
}

async fn serve(driver: Rc<Driver>, links: Rc<PeerLinks>, stream: TcpStream) {
    let (mut reader, writer) = frame::split(stream);
    let greeting = timeout(GREETING_TIMEOUT, reader.read::<Greeting>()).await;
    reader.accept_long_frames();
    match greeting {
        Ok(Ok(Some(Greeting::ControlNode { format: MESSAGE_FORMAT, id }))) => {
            links.receive(id, reader).await;
        }
        Ok(Ok(Some(Greeting::Gateway {
            format: MESSAGE_FORMAT,
            name,
            offset,
            configuration_index,
            contact_number,
            ..
        }))) => {
            let subscription = Subscription { name, offset, configuration_index, contact_number };
            subscribers::serve(driver, subscription, reader, writer).await;
        }
        Ok(Ok(Some(Greeting::QueryClient { format: MESSAGE_FORMAT }))) => {
            queries::serve(driver, reader, writer).await;
        }
        // No greeting, or one of another format.
        _ => log::info!("connections: closed a connection that sent no greeting of this format"),
    }
}
