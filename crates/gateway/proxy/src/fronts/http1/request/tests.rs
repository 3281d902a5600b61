use super::states_length;

#[test]
fn a_length_is_seen_however_it_is_written_and_nowhere_but_in_the_head() {
    for raw in ["POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", "POST / HTTP/1.1\nX: y\ncONTENT-lENGTH:5\n\n"]
    {
        assert!(states_length(raw.as_bytes()), "{raw:?}");
    }
    for raw in [
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 5\r\n",
        "POST / HTTP/1.1\r\nX-Content-Length: 5\r\nY: content-length: 5\r\n\r\n",
        "",
    ] {
        assert!(!states_length(raw.as_bytes()), "{raw:?}");
    }
}
