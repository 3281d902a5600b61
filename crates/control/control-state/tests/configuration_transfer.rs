//! Transfers of configurations to gateways: full, by deltas, over slow links, and with invalid chunks.

use control_state::{
    CommittedConfiguration, ConfigurationChunk, ConfigurationReceiver, ConfigurationSender, Delta,
    DeltaHistory, ReceiveOutcome, CHUNK_BYTES, WINDOW_BYTES,
};
use std::sync::Arc;

/// A configuration with this many routes, in the form that the bench uses. Route `moved` has another target service.
fn body(version: u32, routes: usize, moved: usize) -> Vec<u8> {
    let route = |n: usize| {
        let service = if n == moved { "wuno96b" } else { "huvo11a" };
        format!(
            r#"{{"name":"r-{n:05}","host":"ficu{}.example","pathPrefix":"/lohu{n}/","routeKind":"safe","timeoutMs":2500,"targetLatencyMs":400,"priority":2,"weightedTargets":[{{"targetService":"{service}","weight":90}},{{"targetService":"wuno96b","weight":10}}],"maxAttempts":2,"public":false}}"#,
            n % 40
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(r#"{{"configVersion":"{version:08x}","routes":[{}],"services":[]}}"#, routes.join(","))
        .into_bytes()
}

fn configuration(index: u64, body: Vec<u8>) -> Arc<CommittedConfiguration> {
    Arc::new(CommittedConfiguration { version: index as u32, index, body })
}

/// A gateway and its link to a control node, with counters of what was transferred.
#[derive(Default)]
struct Link {
    sender: ConfigurationSender,
    receiver: ConfigurationReceiver,
    current: Option<Arc<CommittedConfiguration>>,
    bytes: usize,
    full_transfers: usize,
}

impl Link {
    fn reconnect(&mut self) {
        self.sender = ConfigurationSender::new(self.current.as_ref().map_or(0, |c| c.index));
        self.receiver = ConfigurationReceiver::default();
    }

    fn deliver(&mut self, chunk: ConfigurationChunk) {
        self.bytes += chunk.bytes.len();
        self.full_transfers += usize::from(chunk.header.as_ref().is_some_and(|h| h.base_index.is_none()));
        match self.receiver.receive(self.current.as_deref(), chunk) {
            ReceiveOutcome::Incomplete { index, bytes } => self.sender.on_received(index, bytes),
            ReceiveOutcome::Complete { configuration, bytes } => {
                self.sender.on_received(configuration.index, bytes);
                let newer = self.current.as_ref().is_none_or(|c| c.index < configuration.index);
                assert!(newer, "gateway went back to an older configuration");
                self.current = Some(configuration);
            }
            ReceiveOutcome::BaseMissing => self.sender.on_base_missing(),
            ReceiveOutcome::Invalid => panic!("chunk rejected as invalid"),
        }
    }

    fn sync(&mut self, history: &DeltaHistory, newest: &Arc<CommittedConfiguration>) {
        while let Some(chunk) = self.sender.next_chunk(history, Some(newest)) {
            self.deliver(chunk);
        }
        assert_eq!(
            self.current.as_ref().map(|c| &c.body),
            Some(&newest.body),
            "same bytes as the newest configuration"
        );
    }
}

#[test]
fn change_of_one_route_of_3000_is_sent_as_a_few_hundred_bytes() {
    let (old, new) = (body(1, 3000, 9999), body(2, 3000, 1700));
    let delta = Delta::between(&old, &new);
    assert_eq!(delta.apply(&old, 1 << 20), Some(new.clone()));
    let bytes = delta.encode().len();
    println!("{} bytes of {}", bytes, new.len());
    assert!(new.len() > 700_000 && bytes < 500, "{bytes} of {}", new.len());
    assert_eq!(delta.apply(&old[..1000], 1 << 20), None, "delta does not fit another old body");
    assert_eq!(delta.apply(&old, 1000), None, "result exceeds the maximum length");
    assert_eq!(Delta::decode(&delta.encode()), Some(delta));
    assert_eq!(Delta::decode(b"nonsense"), None);
}

#[test]
fn delta_between_any_two_bodies_applies() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut random_bytes = |max_length: usize| -> Vec<u8> {
        (0..rng.usize(..max_length)).map(|_| b"{}{}aab,"[rng.usize(..8)]).collect()
    };
    for _ in 0..3000 {
        let (old, new) = (random_bytes(400), random_bytes(400));
        let delta = Delta::between(&old, &new);
        assert_eq!(delta.apply(&old, 400), Some(new));
    }
}

#[test]
fn gateway_gets_the_whole_once_and_then_deltas() {
    let mut history = DeltaHistory::default();
    let mut newest = configuration(1, body(1, 3000, 0));
    let mut links: Vec<Link> = (0..3).map(|_| Link::default()).collect();
    links.iter_mut().for_each(|l| l.sync(&history, &newest));
    let first = links[0].bytes;
    assert_eq!(first, newest.body.len());
    for n in 2..=40u64 {
        let new = configuration(n, body(n as u32, 3000, n as usize * 31));
        history.record(&newest, &new);
        newest = new;
        // The first gateway gets each change at once, the second every fifth, the third is isolated until the end.
        links[0].sync(&history, &newest);
        if n % 5 == 0 {
            links[1].sync(&history, &newest);
        }
    }
    links[2].reconnect();
    links[2].sync(&history, &newest);
    for link in &links {
        assert_eq!(link.full_transfers, 1);
        println!("{} bytes for 39 changes", link.bytes - first);
        assert!(link.bytes < first + 39 * 750, "{} bytes after the first transfer", link.bytes - first);
    }
    assert!(history.bytes() < 39 * 750);
}

#[test]
fn gateway_with_other_bytes_gets_the_whole() {
    let mut history = DeltaHistory::default();
    let (one, two) = (configuration(1, body(1, 300, 0)), configuration(2, body(2, 300, 7)));
    history.record(&one, &two);
    let mut link = Link { current: Some(configuration(1, body(1, 300, 8))), ..Link::default() };
    link.reconnect();
    link.sync(&history, &two);
    assert_eq!(link.full_transfers, 1);
}

#[test]
fn control_node_that_lags_sends_nothing() {
    let newest = configuration(5, body(5, 3, 0));
    let mut sender = ConfigurationSender::new(9);
    assert_eq!(sender.next_chunk(&DeltaHistory::default(), Some(&newest)), None);
    assert_eq!(sender.next_chunk(&DeltaHistory::default(), None), None);
}

#[test]
fn slow_link_is_never_filled_and_later_changes_are_not_lost() {
    let mut history = DeltaHistory::default();
    let mut newest = configuration(1, body(1, 3000, 0));
    let (mut link, mut queue, mut sent) = (Link::default(), std::collections::VecDeque::new(), 0usize);
    for n in 2..200u64 {
        while let Some(chunk) = link.sender.next_chunk(&history, Some(&newest)) {
            sent += chunk.bytes.len();
            queue.push_back(chunk);
        }
        assert!(sent - link.bytes <= WINDOW_BYTES + CHUNK_BYTES);
        // One chunk arrives between two changes.
        if let Some(chunk) = queue.pop_front() {
            link.deliver(chunk);
        }
        if n < 100 {
            let new = configuration(n, body(n as u32, 3000, n as usize));
            history.record(&newest, &new);
            newest = new;
        }
    }
    while let Some(chunk) = queue.pop_front().or_else(|| link.sender.next_chunk(&history, Some(&newest))) {
        link.deliver(chunk);
    }
    assert_eq!(link.current.as_deref(), Some(&*newest));
    assert_eq!(link.full_transfers, 1, "later changes are sent as deltas");
}

#[test]
fn delta_history_is_bounded_and_laggards_get_the_whole() {
    let mut history = DeltaHistory::default();
    let mut newest = configuration(1, body(1, 300, 0));
    let mut link = Link::default();
    link.sync(&history, &newest);
    for n in 2..=400u64 {
        // Each configuration changes every route.
        let original = body(n as u32, 300, 0);
        let text = String::from_utf8(original).unwrap().replace("ficu", &format!("f{n}-"));
        let new = configuration(n, text.into_bytes());
        history.record(&newest, &new);
        newest = new;
        assert!(history.bytes() <= 256 << 10);
    }
    link.sync(&history, &newest);
    assert_eq!(link.full_transfers, 2);
}

#[test]
fn invalid_chunks_end_the_connection() {
    let newest = configuration(1, body(1, 300, 0));
    let chunk = |sender: &mut ConfigurationSender| {
        sender.next_chunk(&DeltaHistory::default(), Some(&newest)).unwrap()
    };
    let mut sender = ConfigurationSender::default();
    let (first, second) = (chunk(&mut sender), chunk(&mut sender));
    assert_eq!(
        ConfigurationReceiver::default().receive(None, second.clone()),
        ReceiveOutcome::Invalid,
        "transfer begins without a header"
    );
    let mut overlong = first.clone();
    overlong.header.as_mut().unwrap().length = 5;
    assert_eq!(
        ConfigurationReceiver::default().receive(None, overlong),
        ReceiveOutcome::Invalid,
        "more bytes than the header declares"
    );
    // A byte was corrupted in transit: the digest does not match.
    let mut receiver = ConfigurationReceiver::default();
    let mut corrupted = first;
    corrupted.bytes[40] ^= 1;
    receiver.receive(None, corrupted);
    let mut outcome = receiver.receive(None, second);
    while let ReceiveOutcome::Incomplete { index, bytes } = outcome {
        sender.on_received(index, bytes);
        outcome = receiver.receive(None, chunk(&mut sender));
    }
    assert_eq!(outcome, ReceiveOutcome::Invalid);
}
