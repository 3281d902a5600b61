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

/// How long a connection may take to identify itself.
const GREETING_TIMEOUT: Duration = Duration::from_secs(2);
/// Connections at once, at most; one more is closed.
const MAX_CONNECTIONS: usize = 384;
/// After a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts connections for as long as the process lives.
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
        // Of another format, or no greeting.
        _ => log::info!("connections: one without a greeting of our format was closed"),
    }
}
