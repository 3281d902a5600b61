use super::*;

/// A connection on which all this has happened, a second apart.
fn after(inputs: &[Input]) -> Connection {
    let mut c = Connection::new(0, Timeouts::default());
    for (n, input) in inputs.iter().enumerate() {
        c.handle(n as Time * 1_000_000_000, *input).expect("in order");
    }
    c
}

/// RFC 9112, 9.6: after the last answer, not in the middle of it.
#[test]
fn a_drain_ends_what_owes_nothing_and_lets_the_rest_finish() {
    use Input::*;
    let at_rest: [&[Input]; 3] = [&[], &[Bytes], &[Bytes, Head, Accepted, Reply, Flushed]];
    for inputs in at_rest {
        assert_eq!(after(inputs).handle(9, Input::Close(super::Close::Drain)), Ok(Command::Shut));
    }
    let owed: [&[Input]; 3] = [&[Bytes, Head], &[Bytes, Head, Accepted], &[Bytes, Head, Accepted, Reply]];
    for inputs in owed {
        let mut c = after(inputs);
        assert_eq!(c.handle(9, Input::Close(super::Close::Drain)), Ok(Command::Finish));
        if c.state() != State::Answering {
            assert_eq!(c.handle(9, Reply), Ok(Command::Answer { close: true }));
        }
        assert_eq!(c.handle(9, Flushed), Ok(Command::Shut));
    }
}

#[test]
fn a_handover_lets_who_has_yet_to_ask_do_so_once() {
    use Input::*;
    let early: [&[Input]; 3] = [&[], &[Bytes], &[Bytes, Head, Accepted, Reply, Flushed, Bytes]];
    for inputs in early {
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
fn room_is_made_by_who_never_asked_then_by_who_idles_then_by_who_does_not_read() {
    use Input::*;
    let never = after(&[]);
    let idle = after(&[Bytes, Head, Accepted, Reply, Flushed]);
    let stuck = after(&[Bytes, Head, Accepted, Reply]);
    let busy = after(&[Bytes, Head, Accepted]);
    let now = 20_000_000_000;
    let pick =
        |all: &[&Connection]| eviction_candidate(all.iter().map(|c| c.state()).zip(all.iter().copied()), now);
    assert_eq!(pick(&[&busy]), None);
    assert_eq!(pick(&[&busy, &stuck]), Some((State::Answering, 0)));
    assert_eq!(pick(&[&busy, &stuck, &idle]).map(|p| p.1), Some(0));
    let two = [&idle, &never];
    let picked = eviction_candidate(
        two.iter().map(|c| (c.has_requested(), **c)).collect::<Vec<_>>().iter().map(|(k, c)| (*k, c)),
        now,
    );
    assert_eq!(picked, Some((false, 0)), "though it came later than the other began to idle");
    let mut writes = after(&[]);
    writes.handle(10_000_000_000, Bytes).expect("in order");
    writes.handle(19_000_000_000, Bytes).expect("in order");
    let holds = after(&[Bytes]);
    assert_eq!(pick(&[&writes, &holds]), Some((State::Head, 0)));
    let two = [(0, &writes), (1, &holds)];
    assert_eq!(eviction_candidate(two.into_iter(), now).map(|p| p.0), Some(1), "not the one that came first");
    let young = eviction_candidate([((), &never)].into_iter(), EVICTION_GRACE / 4);
    assert_eq!(young, Some(((), EVICTION_GRACE * 3 / 4)));
}

#[test]
fn a_head_has_its_time_from_its_first_byte_on_however_long_its_client_idled() {
    let ms = 1_000_000;
    let mut c = Connection::new(0, Timeouts::default());
    assert_eq!(c.read_deadline(), Some(IDLE_TIMEOUT));
    c.handle(100 * ms, Input::Bytes).expect("in order");
    assert_eq!(c.read_deadline(), Some(100 * ms + HEAD_TIMEOUT));
    let mut late = Connection::new(0, Timeouts::default());
    late.handle(1500 * ms, Input::Bytes).expect("in order");
    assert_eq!(late.read_deadline(), Some(FIRST_HEAD_TIMEOUT), "a first one has no longer than this");
    for input in [Input::Head, Input::Accepted, Input::Reply, Input::Flushed] {
        c.handle(200 * ms, input).expect("in order");
    }
    assert_eq!(c.read_deadline(), Some(200 * ms + IDLE_TIMEOUT));
    c.handle(2000 * ms, Input::Bytes).expect("in order");
    assert_eq!(c.read_deadline(), Some(2000 * ms + HEAD_TIMEOUT));
    c.handle(2000 * ms, Input::Head).expect("in order");
    assert_eq!(c.read_deadline(), None);
}

#[test]
fn what_cannot_be_is_an_error_and_changes_nothing() {
    for input in [Input::Accepted, Input::Reply, Input::Flushed] {
        let mut c = Connection::new(0, Timeouts::default());
        assert_eq!(c.handle(1, input), Err(InvalidInput { state: State::Idle, input }));
        assert_eq!(c, Connection::new(0, Timeouts::default()));
    }
}
