//! Frames on a connection: their limits, and what counts as activity.

use messages::frame::split;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (one, two) = tokio::join!(TcpStream::connect(listener.local_addr().unwrap()), listener.accept());
    (one.unwrap(), two.unwrap().0)
}

#[tokio::test]
async fn frame_limit_is_raised_for_identified_peers() {
    let (one, two) = pair().await;
    let ((mut reader, _one), (_two, mut writer)) = (split(one), split(two));
    let long = "x".repeat(100_000);
    writer.write(&"who").await.unwrap();
    assert_eq!(reader.read::<String>().await.unwrap().as_deref(), Some("who"));
    reader.accept_long_frames();
    let (told, heard) = tokio::join!(writer.write(&long), reader.read::<String>());
    told.unwrap();
    assert_eq!(heard.unwrap(), Some(long));

    let (one, mut two) = pair().await;
    let (mut reader, _one) = split(one);
    two.write_all(&(8u32 << 20).to_be_bytes()).await.unwrap();
    assert!(reader.read::<String>().await.is_err(), "nothing is set aside for what it claims");
}

#[tokio::test(start_paused = true)]
async fn slow_message_counts_as_activity_while_bytes_arrive() {
    let (one, mut two) = pair().await;
    let (mut reader, _one) = split(one);
    reader.accept_long_frames();
    let begun = reader.last_activity();
    let message = rmp_serde::to_vec(&"x".repeat(5000)).unwrap();
    two.write_all(&(message.len() as u32).to_be_bytes()).await.unwrap();
    for piece in message.chunks(1000) {
        tokio::time::advance(Duration::from_millis(400)).await;
        two.write_all(piece).await.unwrap();
        // The whole does not come within this; its bytes do.
        let _ = timeout(Duration::from_millis(1), reader.read::<String>()).await;
        assert!(
            reader.last_activity() > begun && reader.last_activity().elapsed() < Duration::from_millis(100)
        );
    }
    assert!(begun.elapsed() > Duration::from_millis(2000), "longer than a silence that ends a link");
}

#[tokio::test]
async fn malformed_frame_ends_the_connection() {
    let (one, mut two) = pair().await;
    let (mut reader, _one) = split(one);
    two.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    assert!(reader.read::<u64>().await.is_err());
}
