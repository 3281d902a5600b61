//! A configuration on its way to a follower: what is sent, what it holds, and what goes wrong on the way.

use control_state::{
    CommittedConfiguration, ConfigurationChunk, ConfigurationReceiver, ConfigurationSender, Delta,
    DeltaHistory, ReceiveOutcome, CHUNK_BYTES, WINDOW_BYTES,
};
use std::sync::Arc;

/// A configuration of so many routes in the bench's form; `moved` is served by another service.
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

/// A follower with its link: all is told that can be, and how many bytes went.
#[derive(Default)]
struct Link {
    sender: ConfigurationSender,
    receiver: ConfigurationReceiver,
    held: Option<Arc<CommittedConfiguration>>,
    bytes: usize,
    wholes: usize,
}

impl Link {
    fn again(&mut self) {
        self.sender = ConfigurationSender::new(self.held.as_ref().map_or(0, |c| c.index));
        self.receiver = ConfigurationReceiver::default();
    }

    fn take(&mut self, part: ConfigurationChunk) {
        self.bytes += part.bytes.len();
        self.wholes += usize::from(part.header.as_ref().is_some_and(|h| h.base_index.is_none()));
        match self.receiver.receive(self.held.as_deref(), part) {
            ReceiveOutcome::Incomplete { index, bytes } => self.sender.on_received(index, bytes),
            ReceiveOutcome::Complete { configuration, bytes } => {
                self.sender.on_received(configuration.index, bytes);
                let newer = self.held.as_ref().is_none_or(|c| c.index < configuration.index);
                assert!(newer, "nothing goes back");
                self.held = Some(configuration);
            }
            ReceiveOutcome::BaseMissing => self.sender.on_base_missing(),
            ReceiveOutcome::Invalid => panic!("wrong"),
        }
    }

    fn settle(&mut self, steps: &DeltaHistory, newest: &Arc<CommittedConfiguration>) {
        while let Some(part) = self.sender.next_chunk(steps, Some(newest)) {
            self.take(part);
        }
        assert_eq!(self.held.as_ref().map(|c| &c.body), Some(&newest.body), "byte for byte");
    }
}

#[test]
fn change_of_one_route_of_3000_is_sent_as_a_few_hundred_bytes() {
    let (old, new) = (body(1, 3000, 9999), body(2, 3000, 1700));
    let difference = Delta::between(&old, &new);
    assert_eq!(difference.apply(&old, 1 << 20), Some(new.clone()));
    let bytes = difference.encode().len();
    println!("{} bytes of {}", bytes, new.len());
    assert!(new.len() > 700_000 && bytes < 500, "{bytes} of {}", new.len());
    assert_eq!(difference.apply(&old[..1000], 1 << 20), None, "of another old one there is nothing");
    assert_eq!(difference.apply(&old, 1000), None, "nor more than is wanted");
    assert_eq!(Delta::decode(&difference.encode()), Some(difference));
    assert_eq!(Delta::decode(b"nonsense"), None);
}

#[test]
fn delta_between_any_two_bodies_applies() {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut text =
        |most: usize| -> Vec<u8> { (0..rng.usize(..most)).map(|_| b"{}{}aab,"[rng.usize(..8)]).collect() };
    for _ in 0..3000 {
        let (old, new) = (text(400), text(400));
        let difference = Delta::between(&old, &new);
        assert_eq!(difference.apply(&old, 400), Some(new));
    }
}

#[test]
fn gateway_gets_the_whole_once_and_then_deltas() {
    let mut steps = DeltaHistory::default();
    let mut newest = configuration(1, body(1, 3000, 0));
    let mut links: Vec<Link> = (0..3).map(|_| Link::default()).collect();
    links.iter_mut().for_each(|l| l.settle(&steps, &newest));
    let first = links[0].bytes;
    assert_eq!(first, newest.body.len());
    for n in 2..=40u64 {
        let new = configuration(n, body(n as u32, 3000, n as usize * 31));
        steps.record(&newest, &new);
        newest = new;
        // One follows at once, one each fifth time, one is isolated all the while.
        links[0].settle(&steps, &newest);
        if n % 5 == 0 {
            links[1].settle(&steps, &newest);
        }
    }
    links[2].again();
    links[2].settle(&steps, &newest);
    for link in &links {
        assert_eq!(link.wholes, 1);
        println!("{} bytes for 39 changes", link.bytes - first);
        assert!(link.bytes < first + 39 * 750, "{} bytes beyond the first", link.bytes - first);
    }
    assert!(steps.bytes() < 39 * 750);
}

#[test]
fn gateway_with_other_bytes_gets_the_whole() {
    let mut steps = DeltaHistory::default();
    let (one, two) = (configuration(1, body(1, 300, 0)), configuration(2, body(2, 300, 7)));
    steps.record(&one, &two);
    let mut link = Link { held: Some(configuration(1, body(1, 300, 8))), ..Link::default() };
    link.again();
    link.settle(&steps, &two);
    assert_eq!(link.wholes, 1);
}

#[test]
fn control_node_that_lags_claims_no_contact() {
    let newest = configuration(5, body(5, 3, 0));
    let mut sender = ConfigurationSender::new(9);
    assert_eq!(sender.next_chunk(&DeltaHistory::default(), Some(&newest)), None);
    assert_eq!(sender.next_chunk(&DeltaHistory::default(), None), None);
}

#[test]
fn slow_link_is_never_filled_and_later_changes_are_not_lost() {
    let mut steps = DeltaHistory::default();
    let mut newest = configuration(1, body(1, 3000, 0));
    let (mut link, mut queue, mut sent) = (Link::default(), std::collections::VecDeque::new(), 0usize);
    for n in 2..200u64 {
        while let Some(part) = link.sender.next_chunk(&steps, Some(&newest)) {
            sent += part.bytes.len();
            queue.push_back(part);
        }
        assert!(sent - link.bytes <= WINDOW_BYTES + CHUNK_BYTES);
        // One part comes through between two changes.
        if let Some(part) = queue.pop_front() {
            link.take(part);
        }
        if n < 100 {
            let new = configuration(n, body(n as u32, 3000, n as usize));
            steps.record(&newest, &new);
            newest = new;
        }
    }
    while let Some(part) = queue.pop_front().or_else(|| link.sender.next_chunk(&steps, Some(&newest))) {
        link.take(part);
    }
    assert_eq!(link.held.as_deref(), Some(&*newest));
    assert_eq!(link.wholes, 1, "what came meanwhile is differences");
}

#[test]
fn delta_history_is_bounded_and_laggards_get_the_whole() {
    let mut steps = DeltaHistory::default();
    let mut newest = configuration(1, body(1, 300, 0));
    let mut link = Link::default();
    link.settle(&steps, &newest);
    for n in 2..=400u64 {
        // Each changes all.
        let other = body(n as u32, 300, 0);
        let text = String::from_utf8(other).unwrap().replace("ficu", &format!("f{n}-"));
        let new = configuration(n, text.into_bytes());
        steps.record(&newest, &new);
        newest = new;
        assert!(steps.bytes() <= 256 << 10);
    }
    link.settle(&steps, &newest);
    assert_eq!(link.wholes, 2);
}

#[test]
fn invalid_chunks_end_the_connection() {
    let newest = configuration(1, body(1, 300, 0));
    let part = |sender: &mut ConfigurationSender| {
        sender.next_chunk(&DeltaHistory::default(), Some(&newest)).unwrap()
    };
    let mut sender = ConfigurationSender::default();
    let (first, second) = (part(&mut sender), part(&mut sender));
    assert_eq!(
        ConfigurationReceiver::default().receive(None, second.clone()),
        ReceiveOutcome::Invalid,
        "no head"
    );
    let mut longer = first.clone();
    longer.header.as_mut().unwrap().length = 5;
    assert_eq!(
        ConfigurationReceiver::default().receive(None, longer),
        ReceiveOutcome::Invalid,
        "more than was said"
    );
    // A byte that was changed on its way: the mark tells.
    let mut receiver = ConfigurationReceiver::default();
    let mut broken = first;
    broken.bytes[40] ^= 1;
    receiver.receive(None, broken);
    let mut last = receiver.receive(None, second);
    while let ReceiveOutcome::Incomplete { index, bytes } = last {
        sender.on_received(index, bytes);
        last = receiver.receive(None, part(&mut sender));
    }
    assert_eq!(last, ReceiveOutcome::Invalid);
}
