use super::*;

/// A connection that has handled these inputs, a second apart.
fn after(inputs: &[Input]) -> Connection {
    let mut connection = Connection::new(0, Timeouts::default());
    for (n, input) in inputs.iter().enumerate() {
        connection.handle(n as Time * 1_000_000_000, *input).expect("the input is valid");
    }
    connection
}

/// RFC 9112, section 9.6: a connection closes after its last answer, not in the middle of it.
#[test]
fn a_drain_closes_connections_without_a_pending_answer_and_lets_the_others_finish() {
    use Input::*;
    let without_answer: [&[Input]; 3] = [&[], &[Bytes], &[Bytes, Head, Accepted, Reply, Flushed]];
    for inputs in without_answer {
        assert_eq!(after(inputs).handle(9, Input::Close(super::Close::Drain)), Ok(Command::Shut));
    }
    let with_pending_answer: [&[Input]; 3] =
        [&[Bytes, Head], &[Bytes, Head, Accepted], &[Bytes, Head, Accepted, Reply]];
    for inputs in with_pending_answer {
        let mut c = after(inputs);
        assert_eq!(c.handle(9, Input::Close(super::Close::Drain)), Ok(Command::Finish));
        if c.state() != State::Answering {
            assert_eq!(c.handle(9, Reply), Ok(Command::Answer { close: true }));
        }
        assert_eq!(c.handle(9, Flushed), Ok(Command::Shut));
    }
}

#[test]
fn a_handover_lets_a_client_finish_its_first_request_or_a_started_head() {
    use Input::*;
    let may_finish: [&[Input]; 3] = [&[], &[Bytes], &[Bytes, Head, Accepted, Reply, Flushed, Bytes]];
    for inputs in may_finish {
        let mut c = after(inputs);
        assert_eq!(c.handle(9, Input::Close(super::Close::Handover)), Ok(Command::None));
        for next in [Bytes, Head, Accepted] {
            assert_eq!(c.handle(9, next), Ok(Command::None));
        }
        assert_eq!(c.handle(9, Reply), Ok(Command::Answer { close: true }));
    }
    let mut idle = after(&[Bytes, Head, Accepted, Reply, Flushed]);
    assert_eq!(idle.handle(9, Input::Close(super::Close::Handover)), Ok(Command::Shut));
}

#[test]
fn eviction_takes_clients_without_a_request_then_idle_ones_then_those_that_do_not_read() {
    use Input::*;
    let without_request = after(&[]);
    let idle = after(&[Bytes, Head, Accepted, Reply, Flushed]);
    let unread = after(&[Bytes, Head, Accepted, Reply]);
    let processing = after(&[Bytes, Head, Accepted]);
    let now = 20_000_000_000;
    let candidate =
        |all: &[&Connection]| eviction_candidate(all.iter().map(|c| c.state()).zip(all.iter().copied()), now);
    assert_eq!(candidate(&[&processing]), None);
    assert_eq!(candidate(&[&processing, &unread]), Some((State::Answering, 0)));
    assert_eq!(candidate(&[&processing, &unread, &idle]).map(|p| p.1), Some(0));
    let two = [&idle, &without_request];
    let evicted = eviction_candidate(
        two.iter().map(|c| (c.has_requested(), **c)).collect::<Vec<_>>().iter().map(|(k, c)| (*k, c)),
        now,
    );
    assert_eq!(evicted, Some((false, 0)), "although it connected after the other became idle");
    let mut sends_head = after(&[]);
    sends_head.handle(10_000_000_000, Bytes).expect("the input is valid");
    sends_head.handle(19_000_000_000, Bytes).expect("the input is valid");
    let silent = after(&[Bytes]);
    assert_eq!(candidate(&[&sends_head, &silent]), Some((State::Head, 0)));
    let two = [(0, &sends_head), (1, &silent)];
    assert_eq!(
        eviction_candidate(two.into_iter(), now).map(|p| p.0),
        Some(1),
        "not the one that connected first"
    );
    let protected = eviction_candidate([((), &without_request)].into_iter(), EVICTION_GRACE / 4);
    assert_eq!(protected, Some(((), EVICTION_GRACE * 3 / 4)));
}

#[test]
fn the_head_timeout_starts_with_its_first_byte_however_long_the_client_was_idle() {
    let ms = 1_000_000;
    let mut c = Connection::new(0, Timeouts::default());
    assert_eq!(c.read_deadline(), Some(IDLE_TIMEOUT));
    c.handle(100 * ms, Input::Bytes).expect("the input is valid");
    assert_eq!(c.read_deadline(), Some(100 * ms + HEAD_TIMEOUT));
    let mut late_head = Connection::new(0, Timeouts::default());
    late_head.handle(1500 * ms, Input::Bytes).expect("the input is valid");
    assert_eq!(late_head.read_deadline(), Some(FIRST_HEAD_TIMEOUT), "the first head is due after connecting");
    for input in [Input::Head, Input::Accepted, Input::Reply, Input::Flushed] {
        c.handle(200 * ms, input).expect("the input is valid");
    }
    assert_eq!(c.read_deadline(), Some(200 * ms + IDLE_TIMEOUT));
    c.handle(2000 * ms, Input::Bytes).expect("the input is valid");
    assert_eq!(c.read_deadline(), Some(2000 * ms + HEAD_TIMEOUT));
    c.handle(2000 * ms, Input::Head).expect("the input is valid");
    assert_eq!(c.read_deadline(), None);
}

#[test]
fn an_invalid_input_is_an_error_and_changes_nothing() {
    for input in [Input::Accepted, Input::Reply, Input::Flushed] {
        let mut c = Connection::new(0, Timeouts::default());
        assert_eq!(c.handle(1, input), Err(InvalidInput { state: State::Idle, input }));
        assert_eq!(c, Connection::new(0, Timeouts::default()));
    }
}
