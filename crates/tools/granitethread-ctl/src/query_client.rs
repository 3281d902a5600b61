//! Queries to the control nodes over their internal addresses.

use messages::{frame, Greeting, Query, QueryAnswer, QueryResponse, MESSAGE_FORMAT};
use sockets::connect;
use std::collections::BTreeSet;
use std::io::{Error, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::time::timeout;

/// A control node that does not answer within this time counts as unreached.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Responses of the control nodes that answered a query, and the nodes that did not.
pub struct QueryResult {
    pub responses: Vec<QueryResponse>,
    pub unreached: Vec<IpAddr>,
}

/// Queries the nodes at these addresses and all nodes that they know of. All use the port of the first address.
pub async fn query_all(query: Query, nodes: &[SocketAddr]) -> QueryResult {
    let port = nodes[0].port();
    let mut pending: BTreeSet<SocketAddr> = nodes.iter().copied().collect();
    let mut queried = BTreeSet::new();
    let mut result = QueryResult { responses: Vec::new(), unreached: Vec::new() };
    while let Some(node) = pending.pop_first() {
        if !queried.insert(node) {
            continue;
        }
        match timeout(RESPONSE_TIMEOUT, query_node(query, node)).await {
            Ok(Ok(NodeResponse { status, response })) => {
                let known = known_nodes(&status, port).into_iter();
                pending.extend(known.filter(|node| !queried.contains(node)));
                result.responses.push(response);
            }
            _ => result.unreached.push(node.ip()),
        }
    }
    result
}

/// A node's status, which names further nodes, and its response to the query itself.
struct NodeResponse {
    status: QueryResponse,
    response: QueryResponse,
}

async fn query_node(query: Query, node: SocketAddr) -> Result<NodeResponse, Error> {
    let (mut reader, mut writer) = frame::split(connect(node).await?);
    reader.accept_long_frames();
    writer.write(&Greeting::QueryClient { format: MESSAGE_FORMAT }).await?;
    let closed = || Error::from(ErrorKind::UnexpectedEof);
    writer.write(&Query::Status).await?;
    let status = reader.read().await?.ok_or_else(closed)?;
    writer.write(&query).await?;
    let response = reader.read().await?.ok_or_else(closed)?;
    Ok(NodeResponse { status, response })
}

fn known_nodes(status: &QueryResponse, port: u16) -> Vec<SocketAddr> {
    let QueryAnswer::Status { control_nodes, .. } = &status.answer else { return Vec::new() };
    let addresses = control_nodes.iter().filter_map(|(name, _)| name.parse::<IpAddr>().ok());
    addresses.map(|ip| SocketAddr::new(ip, port)).collect()
}
