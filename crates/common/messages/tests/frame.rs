//! Frame length limits, and activity tracking while a message arrives.

use messages::frame::split;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (client, server) =
        tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    (client.unwrap(), server.unwrap().0)
}

#[tokio::test]
async fn frame_limit_is_raised_for_identified_peers() {
    let (client, server) = connected_pair().await;
    let ((mut reader, _client_writer), (_server_reader, mut writer)) = (split(client), split(server));
    let long = "x".repeat(100_000);
    writer.write(&"who").await.unwrap();
    assert_eq!(reader.read::<String>().await.unwrap().as_deref(), Some("who"));
    reader.accept_long_frames();
    let (written, received) = tokio::join!(writer.write(&long), reader.read::<String>());
    written.unwrap();
    assert_eq!(received.unwrap(), Some(long));

    let (client, mut server) = connected_pair().await;
    let (mut reader, _client_writer) = split(client);
    server.write_all(&(8u32 << 20).to_be_bytes()).await.unwrap();
    assert!(reader.read::<String>().await.is_err(), "no memory is allocated for the claimed length");
}

#[tokio::test(start_paused = true)]
async fn slow_message_counts_as_activity_while_bytes_arrive() {
    let (client, mut server) = connected_pair().await;
    let (mut reader, _client_writer) = split(client);
    reader.accept_long_frames();
    let initial_activity = reader.last_activity();
    let message = rmp_serde::to_vec(&"x".repeat(5000)).unwrap();
    server.write_all(&(message.len() as u32).to_be_bytes()).await.unwrap();
    for chunk in message.chunks(1000) {
        tokio::time::advance(Duration::from_millis(400)).await;
        server.write_all(chunk).await.unwrap();
        // The whole message does not arrive within this time, but some of its bytes do.
        let _ = timeout(Duration::from_millis(1), reader.read::<String>()).await;
        assert!(
            reader.last_activity() > initial_activity
                && reader.last_activity().elapsed() < Duration::from_millis(100)
        );
    }
    assert!(
        initial_activity.elapsed() > Duration::from_millis(2000),
        "longer than the silence timeout of a link"
    );
}

#[tokio::test]
async fn malformed_frame_ends_the_connection() {
    let (client, mut server) = connected_pair().await;
    let (mut reader, _client_writer) = split(client);
    server.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert!(reader.read::<u64>().await.is_err());
}
