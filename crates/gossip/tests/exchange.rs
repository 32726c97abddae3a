//! Tests gossip under loss, duplication, delay, reordering, partitions and restarts, in simulated time.

mod network;

use network::{Faults, Network, front_name, gossip_config};
use pulleystair_gossip::message::{GOSSIP_VERSION, MAX_BYTES, Message};
use pulleystair_gossip::{Gossip, Liveness, MAX_CELL_BYTES, MAX_CLOCK_DRIFT, PeerListError, front_id};
use test_case::test_case;

const BAD_NETWORK: Faults = Faults { lost: 0.3, duplicated: 0.2, max_delay_ms: 40.0 };

fn cell_value(gossip: &Gossip, now: f64, front: usize) -> Option<Vec<u8>> {
    gossip.front(now, front_id(&front_name(front)))?.cell(1).map(<[u8]>::to_vec)
}

fn reached_all(net: &Network, front: usize, bytes: &[u8]) -> bool {
    (0..net.fronts.len()).all(|i| cell_value(&net.fronts[i], net.now, front).as_deref() == Some(bytes))
}

#[test_case(3, Faults::default(), 1_500.0; "three")]
#[test_case(30, Faults::default(), 4_000.0; "thirty")]
#[test_case(30, BAD_NETWORK, 8_000.0; "thirty over a bad network")]
#[test_case(100, BAD_NETWORK, 20_000.0; "a hundred over a bad network")]
fn a_change_reaches_all_fronts(count: usize, faults: Faults, max_ms: f64) {
    let mut net = Network::new(count, 1, faults);
    net.run(5_000.0, |_| {});
    net.fronts[1].set_cell(1, b"fact".to_vec());
    net.run(max_ms, |_| {});
    assert!(reached_all(&net, 1, b"fact"));
    let max_bytes = net.bytes.iter().max().copied().unwrap_or(0) as f64;
    assert!(max_bytes <= 64_000.0 * (net.now / 1_000.0 + 1.0), "{max_bytes} bytes in {} ms", net.now);
}

/// Each front writes the time into its row now and then. A reader must never underestimate the age of a row, whatever
/// the network does.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_rows_age_is_never_underestimated(seed: u64) {
    let mut net = Network::new(6, seed, BAD_NETWORK);
    // Front 3 receives nothing from front 2 directly, only through the others.
    net.link_open = |from, to| !(from == 2 && to == 3);
    let mut written_at = [0.0; 6];
    let mut checked = 0;
    for step in 0..200 {
        let front = step % 6;
        written_at[front] = net.now;
        let now = net.now;
        net.fronts[front].set_cell(1, (now as u64).to_be_bytes().to_vec());
        net.run(70.0, |net| {
            for reader in &net.fronts {
                for row in reader.fronts(net.now).filter(|row| row.age.is_finite()) {
                    let Some(cell_written_at) = row.cell(1).and_then(|v| v.try_into().ok()) else { continue };
                    let cell_written_at = u64::from_be_bytes(cell_written_at) as f64;
                    let origin = net.index(row.origin);
                    // The origin replaced this value at `written_at`, so the reader's row has been out of date since.
                    if cell_written_at < written_at[origin].floor() {
                        checked += 1;
                        let passed = net.now - written_at[origin];
                        assert!(
                            row.age + 0.001 >= passed,
                            "estimated age {} ms is below the true {passed} ms",
                            row.age
                        );
                    }
                }
            }
        });
    }
    assert!(checked > 1_000, "{checked}");
}

#[test]
fn an_isolated_front_is_doubted_then_unheard_and_its_row_is_kept() {
    let mut net = Network::new(5, 4, Faults::default());
    net.fronts[4].set_cell(1, b"lent".to_vec());
    net.run(3_000.0, |_| {});
    net.link_open = |from, to| from != 4 && to != 4;
    let mut liveness_changes = Vec::new();
    net.run(8_000.0, |net| {
        let row = net.fronts[0].front(net.now, front_id(&front_name(4))).expect("the front is a peer");
        if liveness_changes.last() != Some(&row.liveness) {
            liveness_changes.push(row.liveness);
        }
        assert_eq!(row.cell(1), Some(b"lent".as_slice()));
    });
    assert_eq!(liveness_changes, [Liveness::Heard, Liveness::Doubted, Liveness::Unheard]);
    net.link_open = |_, _| true;
    net.run(2_000.0, |_| {});
    assert_eq!(
        net.fronts[0].front(net.now, front_id(&front_name(4))).expect("the front is a peer").liveness,
        Liveness::Heard
    );
}

#[test]
fn a_front_that_reaches_one_peer_is_heard_by_all() {
    let mut net = Network::new(5, 5, Faults::default());
    net.link_open = |from, to| from != 4 && to != 4 || from == 0 || to == 0;
    net.run(6_000.0, |_| {});
    for reader in &net.fronts {
        assert_eq!(
            reader.front(net.now, front_id(&front_name(4))).expect("the front is a peer").liveness,
            Liveness::Heard
        );
    }
}

#[test]
fn a_restart_replaces_the_row_even_with_a_lower_incarnation() {
    let mut net = Network::new(4, 6, BAD_NETWORK);
    net.fronts[1].set_cell(1, b"first".to_vec());
    net.run(6_000.0, |_| {});
    assert!(reached_all(&net, 1, b"first"));
    net.restart(1, 500);
    net.fronts[1].set_cell(1, b"second".to_vec());
    net.run(12_000.0, |_| {});
    assert!(reached_all(&net, 1, b"second"));
    assert!(net.fronts[1].incarnation() > 1_000 && net.fronts[1].stats.claimed > 0);
}

/// A row of many datagrams arrives in parts. Until it is complete, none of it may be visible or count as current.
#[test]
fn a_partly_received_row_is_not_visible() {
    let mut net = Network::new(2, 12, BAD_NETWORK);
    let mut incomplete = 0;
    for part in 0..40 {
        net.fronts[1].set_cell(part, vec![part as u8; 900]);
    }
    net.run(6_000.0, |net| {
        let row = net.fronts[0].front(net.now, front_id(&front_name(1))).expect("the front is a peer");
        let received = row.cells(0..40).count();
        incomplete += usize::from(received == 0);
        assert!(received == 0 || received == 40, "{received} cells visible");
        assert!(row.age.is_infinite() || received == 40, "{received} cells visible, {} ms old", row.age);
    });
    assert!(
        incomplete > 0
            && net.fronts[0].front(net.now, front_id(&front_name(1))).is_some_and(|row| row.age < 2_000.0)
    );
}

/// Front 2 receives one part of the newest version of front 1's row, and the rest from front 0, which is one change behind.
/// Together they are no version that ever existed: they must be neither applied nor reported as a contradiction.
#[test]
fn parts_of_two_versions_are_not_mixed() {
    let mut net = Network::new(3, 13, Faults::default());
    assert!((0..8).all(|key| net.fronts[1].set_cell(key, vec![1; 900])));
    net.link_open = |from, to| from != 2 && to != 2;
    net.run(5_000.0, |_| {});
    net.fronts[1].set_cell(0, vec![2; 900]);
    let ask = |net: &mut Network, answering: usize| loop {
        net.now = net.now.max(net.fronts[2].next_deadline());
        let now = net.now;
        let question = net.fronts[2]
            .run_round(now)
            .into_iter()
            .find(|datagram| datagram.to == front_id(&front_name(answering)));
        if let Some(question) = question {
            return net.fronts[answering].receive(now, &question.bytes);
        }
    };
    let part = ask(&mut net, 1).remove(1);
    let first = ask(&mut net, 1).remove(0);
    let now = net.now;
    net.fronts[2].receive(now, &first.bytes);
    net.fronts[2].receive(now, &part.bytes);
    for _ in 0..3 {
        for rest in ask(&mut net, 0) {
            let now = net.now;
            net.fronts[2].receive(now, &rest.bytes);
        }
    }
    let now = net.now;
    let row = net.fronts[2].front(now, front_id(&front_name(1))).expect("the front is a peer");
    assert!(row.cells(0..8).count() == 0 && !row.contradictory && row.age.is_infinite());
    net.link_open = |_, _| true;
    net.run(2_000.0, |_| {});
    let row = net.fronts[2].front(net.now, front_id(&front_name(1))).expect("the front is a peer");
    assert_eq!((row.cells(0..8).count(), row.cell(0).map(|c| c[0])), (8, Some(2)));
}

/// An answer that leaves out a change must be rejected, as its later changes would hide the missing one.
#[test]
fn a_change_after_a_gap_is_rejected() {
    let mut net = Network::new(2, 13, Faults::default());
    net.fronts[1].set_cell(1, b"one".to_vec());
    net.run(3_000.0, |_| {});
    net.fronts[1].set_cell(2, b"two".to_vec());
    let now = net.fronts[0].next_deadline();
    let question = net.fronts[0].run_round(now).remove(0);
    let fleet =
        u32::from_be_bytes([question.bytes[1], question.bytes[2], question.bytes[3], question.bytes[4]]);
    let answer = net.fronts[1].receive(now, &question.bytes).remove(0);
    let mut message = Message::decode(&answer.bytes, fleet).expect("the datagram is valid");
    let change = &mut message.changes[0];
    change.after_version += 5;
    change.known.version += 5;
    change.source_version += 5;
    change.cells[0].version += 5;
    net.fronts[0].receive(now, &message.encode(fleet));
    let row = net.fronts[0].front(now, front_id(&front_name(1))).expect("the front is a peer");
    assert_eq!((row.cell(2), net.fronts[0].stats.gaps), (None, 1));
}

/// Two processes run under the same name with the same incarnation. Readers must report the contradiction, until no
/// further one was received for `unheard_after`.
#[test]
fn two_processes_with_one_name_and_incarnation_are_detected() {
    let mut net = Network::new(3, 7, Faults::default());
    let now = net.now;
    net.fronts[1].set_cell(1, b"one".to_vec());
    let mut twin = Gossip::new(gossip_config(1, 3), now, 1_000, 99).expect("the peer list is valid");
    twin.set_cell(1, b"two".to_vec());
    net.run(2_000.0, |_| {});
    // Front 0's question for front 1 goes to the twin, which answers it.
    let question = (0..20).find_map(|_| {
        net.now = net.now.max(net.fronts[0].next_deadline());
        let now = net.now;
        net.fronts[0].run_round(now).into_iter().find(|datagram| datagram.to == front_id(&front_name(1)))
    });
    for answer in twin.receive(net.now, &question.expect("front 0 asks front 1").bytes) {
        net.fronts[0].receive(net.now, &answer.bytes);
    }
    assert!(
        net.fronts[0].front(net.now, front_id(&front_name(1))).expect("the front is a peer").contradictory
    );
    // The twin does not answer again, so the contradiction expires.
    net.run(6_000.0, |_| {});
    assert!(
        !net.fronts[0].front(net.now, front_id(&front_name(1))).expect("the front is a peer").contradictory
    );
    assert_eq!(cell_value(&net.fronts[0], net.now, 1), Some(b"one".to_vec()));
}

fn network_and_question() -> (Network, Vec<u8>) {
    let mut net = Network::new(3, 8, Faults::default());
    net.run(1_000.0, |_| {});
    let now = net.fronts[0].next_deadline();
    let bytes = net.fronts[0].run_round(now).remove(0).bytes;
    (net, bytes)
}

#[test_case(|b| b.extend([0; MAX_BYTES]), |g| g.stats.long; "too long")]
#[test_case(|b| b[0] = GOSSIP_VERSION + 1, |g| g.stats.version; "another version")]
#[test_case(|b| b[2] ^= 1, |g| g.stats.foreign; "another fleet")]
#[test_case(|b| b[20] ^= 4, |g| g.stats.spoilt; "a flipped bit")]
#[test_case(|b| b.truncate(30), |g| g.stats.spoilt; "truncated")]
#[test_case(|b| b.clear(), |g| g.stats.spoilt; "empty")]
fn invalid_datagrams_are_counted_and_not_answered(corrupt: fn(&mut Vec<u8>), count: fn(&Gossip) -> u64) {
    let (mut net, mut bytes) = network_and_question();
    corrupt(&mut bytes);
    let now = net.now;
    for reader in &mut net.fronts[1..] {
        assert_eq!((reader.receive(now, &bytes), count(reader)), (Vec::new(), 1));
    }
}

#[test]
fn unknown_senders_and_impossible_ages_are_counted_and_not_answered() {
    let (mut net, bytes) = network_and_question();
    let fleet = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
    let now = net.now;
    let mut message = Message::decode(&bytes, fleet).expect("the datagram is valid");
    message.from ^= 1;
    assert_eq!(net.fronts[1].receive(now, &message.encode(fleet)), Vec::new());
    assert_eq!(net.fronts[1].stats.unknown, 1);
    message.from ^= 1;
    message.known[0].age = Some(u32::MAX);
    assert_eq!(net.fronts[1].receive(now, &message.encode(fleet)), Vec::new());
    assert_eq!(net.fronts[1].stats.ages, 1);
}

#[test]
fn an_answer_without_a_question_is_rejected() {
    let (mut net, bytes) = network_and_question();
    let now = net.now;
    let answering = usize::from(net.fronts[2].stats.taken < net.fronts[1].stats.taken) + 1;
    net.fronts[answering].set_cell(1, b"news".to_vec());
    let answers = net.fronts[answering].receive(now, &bytes);
    let mut receiver = Gossip::new(gossip_config(0, 3), now, 1_000, 1).expect("the peer list is valid");
    for answer in &answers {
        receiver.receive(now, &answer.bytes);
    }
    assert!(!answers.is_empty() && receiver.stats.late == answers.len() as u64, "{:?}", receiver.stats);
    assert_eq!(cell_value(&receiver, now, answering), None);
}

#[test]
fn the_rate_limit_holds_datagrams_back_and_counts_them() {
    let mut gossip_config = gossip_config(0, 40);
    gossip_config.max_bytes_per_second = 300.0;
    let mut gossip = Gossip::new(gossip_config, 0.0, 1, 1).expect("the peer list is valid");
    let mut sent = 0;
    for _ in 0..100 {
        let now = gossip.next_deadline();
        sent += gossip.run_round(now).iter().map(|out| out.bytes.len()).sum::<usize>();
        assert!(sent as f64 <= 300.0 * (1.0 + now / 1_000.0));
    }
    assert!(gossip.stats.held_back > 0);
}

#[test]
fn an_oversized_cell_is_rejected() {
    let mut gossip = Gossip::new(gossip_config(0, 3), 0.0, 1, 1).expect("the peer list is valid");
    assert!(gossip.set_cell(1, vec![0; MAX_CELL_BYTES]) && !gossip.set_cell(2, vec![0; MAX_CELL_BYTES + 1]));
}

#[test]
fn duplicate_peers_are_rejected() {
    let mut with_duplicate = gossip_config(0, 3);
    with_duplicate.peers.push("front-2".into());
    assert_eq!(
        Gossip::new(with_duplicate, 0.0, 1, 1).err(),
        Some(PeerListError::Duplicate("front-2".into()))
    );
    let mut with_itself = gossip_config(0, 3);
    with_itself.peers.push("front-0".into());
    assert_eq!(Gossip::new(with_itself, 0.0, 1, 1).err(), Some(PeerListError::Duplicate("front-0".into())));
}

/// A reader whose clock runs slow by the maximum drift must still not underestimate a row's age.
#[test]
fn a_slow_clock_does_not_underestimate_a_rows_age() {
    let mut net = Network::new(2, 9, Faults::default());
    net.run(1_000.0, |_| {});
    let age = |at: f64| net.fronts[0].front(at, front_id(&front_name(1))).expect("the front is a peer").age;
    let passed = 10_000.0 / (1.0 - MAX_CLOCK_DRIFT);
    assert!(age(net.now + 10_000.0) - age(net.now) >= passed - 1e-6);
}
