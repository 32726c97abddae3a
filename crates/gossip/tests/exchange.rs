//! The exchange under loss, doubling, delay, reorder, splits and restarts, in simulated time; a story a failure.

mod network;

use network::{Faults, Network, name, terms};
use pulleystair_gossip::message::{MAX_BYTES, Message, VERSION};
use pulleystair_gossip::{Gossip, Liveness, MAX_CELL_BYTES, MAX_CLOCK_DRIFT, PeerListError, origin_of};
use test_case::test_case;

const BAD: Faults = Faults { lost: 0.3, doubled: 0.2, late: 40.0 };

fn value(of: &Gossip, now: f64, front: usize) -> Option<Vec<u8>> {
    of.front(now, origin_of(&name(front)))?.cell(1).map(<[u8]>::to_vec)
}

fn everywhere(net: &Network, front: usize, bytes: &[u8]) -> bool {
    (0..net.fronts.len()).all(|i| value(&net.fronts[i], net.now, front).as_deref() == Some(bytes))
}

#[test_case(3, Faults::default(), 1_500.0; "three")]
#[test_case(30, Faults::default(), 4_000.0; "thirty")]
#[test_case(30, BAD, 8_000.0; "thirty over a bad network")]
#[test_case(100, BAD, 20_000.0; "a hundred over a bad network")]
fn a_fact_comes_everywhere(count: usize, faults: Faults, within: f64) {
    let mut net = Network::new(count, 1, faults);
    net.run(5_000.0, |_| {});
    net.fronts[1].put(1, b"fact".to_vec());
    net.run(within, |_| {});
    assert!(everywhere(&net, 1, b"fact"));
    let most = net.bytes.iter().max().copied().unwrap_or(0) as f64;
    assert!(most <= 64_000.0 * (net.now / 1_000.0 + 1.0), "{most} bytes in {} ms", net.now);
}

/// Each front writes the time into its row now and then. Whoever reads it must not believe it younger than it is, though
/// each clock is off by its own hours, and whatever the network does.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn no_row_is_believed_younger_than_it_is(seed: u64) {
    let mut net = Network::new(6, seed, BAD);
    net.open = |from, to| !(from == 2 && to == 3);
    let mut written = [0.0; 6];
    let mut looked = 0;
    for step in 0..200 {
        let front = step % 6;
        written[front] = net.now;
        let now = net.now;
        net.fronts[front].put(1, (now as u64).to_be_bytes().to_vec());
        net.run(70.0, |net| {
            for reader in &net.fronts {
                for row in reader.fronts(net.now).filter(|row| row.age.is_finite()) {
                    let Some(said) = row.cell(1).and_then(|v| v.try_into().ok()) else { continue };
                    let said = u64::from_be_bytes(said) as f64;
                    let origin = net.index(row.origin);
                    // What it says was its origin's word until the next was written, which it does not know of.
                    if said < written[origin].floor() {
                        looked += 1;
                        let passed = net.now - written[origin];
                        assert!(row.age + 0.001 >= passed, "{} old, {passed} passed", row.age);
                    }
                }
            }
        });
    }
    assert!(looked > 1_000, "{looked}");
}

#[test]
fn who_is_cut_off_is_doubted_then_unheard_and_its_row_stays() {
    let mut net = Network::new(5, 4, Faults::default());
    net.fronts[4].put(1, b"lent".to_vec());
    net.run(3_000.0, |_| {});
    net.open = |from, to| from != 4 && to != 4;
    let mut seen = Vec::new();
    net.run(8_000.0, |net| {
        let row = net.fronts[0].front(net.now, origin_of(&name(4))).expect("it is a peer");
        if seen.last() != Some(&row.silence) {
            seen.push(row.silence);
        }
        assert_eq!(row.cell(1), Some(b"lent".as_slice()));
    });
    assert_eq!(seen, [Liveness::Heard, Liveness::Doubted, Liveness::Unheard]);
    net.open = |_, _| true;
    net.run(2_000.0, |_| {});
    assert_eq!(net.fronts[0].front(net.now, origin_of(&name(4))).expect("it is").silence, Liveness::Heard);
}

#[test]
fn a_front_that_is_heard_by_one_alone_is_heard_by_all() {
    let mut net = Network::new(5, 5, Faults::default());
    net.open = |from, to| from != 4 && to != 4 || from == 0 || to == 0;
    net.run(6_000.0, |_| {});
    for reader in &net.fronts {
        assert_eq!(reader.front(net.now, origin_of(&name(4))).expect("it is").silence, Liveness::Heard);
    }
}

#[test]
fn a_restart_replaces_the_row_and_a_clock_that_went_back_is_overtaken() {
    let mut net = Network::new(4, 6, BAD);
    net.fronts[1].put(1, b"first".to_vec());
    net.run(6_000.0, |_| {});
    assert!(everywhere(&net, 1, b"first"));
    net.restart(1, 500);
    net.fronts[1].put(1, b"second".to_vec());
    net.run(12_000.0, |_| {});
    assert!(everywhere(&net, 1, b"second"));
    assert!(net.fronts[1].incarnation() > 1_000 && net.fronts[1].stats.claimed > 0);
}

/// A row of many datagrams comes in parts; until it is whole it vouches for nothing.
#[test]
fn a_row_that_has_come_in_part_is_not_current() {
    let mut net = Network::new(2, 12, BAD);
    let mut waited = 0;
    for part in 0..40 {
        net.fronts[1].put(part, vec![part as u8; 900]);
    }
    net.run(6_000.0, |net| {
        let row = net.fronts[0].front(net.now, origin_of(&name(1))).expect("it is a peer");
        let come = row.cells(0..40).count();
        waited += usize::from(come == 0);
        assert!(come == 0 || come == 40, "{come} cells");
        assert!(row.age.is_infinite() || come == 40, "{come} cells, {} old", row.age);
    });
    assert!(
        waited > 0 && net.fronts[0].front(net.now, origin_of(&name(1))).is_some_and(|row| row.age < 2_000.0)
    );
}

/// Front 2 hears a part of the newest state of front 1's row, and the rest from front 0, which is one change behind. The
/// two are of no state, and no word of it is to be believed; nor is it a contradiction.
#[test]
fn parts_of_two_states_are_not_mixed() {
    let mut net = Network::new(3, 13, Faults::default());
    assert!((0..8).all(|key| net.fronts[1].put(key, vec![1; 900])));
    net.open = |from, to| from != 2 && to != 2;
    net.run(5_000.0, |_| {});
    net.fronts[1].put(0, vec![2; 900]);
    let answers = |net: &mut Network, of: usize| loop {
        net.now = net.now.max(net.fronts[2].next_deadline());
        let now = net.now;
        let asked = net.fronts[2].run_round(now).into_iter().find(|out| out.to == origin_of(&name(of)));
        if let Some(asked) = asked {
            return net.fronts[of].receive(now, &asked.bytes);
        }
    };
    let part = answers(&mut net, 1).remove(1);
    let first = answers(&mut net, 1).remove(0);
    let now = net.now;
    net.fronts[2].receive(now, &first.bytes);
    net.fronts[2].receive(now, &part.bytes);
    for _ in 0..3 {
        for rest in answers(&mut net, 0) {
            let now = net.now;
            net.fronts[2].receive(now, &rest.bytes);
        }
    }
    let now = net.now;
    let row = net.fronts[2].front(now, origin_of(&name(1))).expect("it is a peer");
    assert!(row.cells(0..8).count() == 0 && !row.contradictory && row.age.is_infinite());
    net.open = |_, _| true;
    net.run(2_000.0, |_| {});
    let row = net.fronts[2].front(net.now, origin_of(&name(1))).expect("it is a peer");
    assert_eq!((row.cells(0..8).count(), row.cell(0).map(|c| c[0])), (8, Some(2)));
}

/// An answer that leaves a part out is not taken: what it brings would stand in for what it lacks.
#[test]
fn a_change_with_a_gap_before_it_is_not_taken() {
    let mut net = Network::new(2, 13, Faults::default());
    net.fronts[1].put(1, b"one".to_vec());
    net.run(3_000.0, |_| {});
    net.fronts[1].put(2, b"two".to_vec());
    let now = net.fronts[0].next_deadline();
    let asked = net.fronts[0].run_round(now).remove(0);
    let fleet = u32::from_be_bytes([asked.bytes[1], asked.bytes[2], asked.bytes[3], asked.bytes[4]]);
    let answer = net.fronts[1].receive(now, &asked.bytes).remove(0);
    let mut it = Message::decode(&answer.bytes, fleet).expect("it reads");
    let change = &mut it.changes[0];
    change.from += 5;
    change.known.version += 5;
    change.of += 5;
    change.cells[0].version += 5;
    net.fronts[0].receive(now, &it.encode(fleet));
    let row = net.fronts[0].front(now, origin_of(&name(1))).expect("it is a peer");
    assert_eq!((row.cell(2), net.fronts[0].stats.gaps), (None, 1));
}

/// Two processes go by one name, with one incarnation.
#[test]
fn two_rows_of_one_incarnation_are_told_apart() {
    let mut net = Network::new(3, 7, Faults::default());
    let now = net.now;
    net.fronts[1].put(1, b"one".to_vec());
    let mut twin = Gossip::new(terms(1, 3), now, 1_000, 99).expect("fit");
    twin.put(1, b"two".to_vec());
    net.run(2_000.0, |_| {});
    // Front 0 asks the twin, which answers what it is asked.
    let out = (0..20).find_map(|_| {
        net.now = net.now.max(net.fronts[0].next_deadline());
        let now = net.now;
        net.fronts[0].run_round(now).into_iter().find(|out| out.to == origin_of(&name(1)))
    });
    for answer in twin.receive(net.now, &out.expect("it asks").bytes) {
        net.fronts[0].receive(net.now, &answer.bytes);
    }
    assert!(net.fronts[0].front(net.now, origin_of(&name(1))).expect("it is").contradictory);
    // The twin is gone for good: what it said is over after a while.
    net.run(6_000.0, |_| {});
    assert!(!net.fronts[0].front(net.now, origin_of(&name(1))).expect("it is").contradictory);
    assert_eq!(value(&net.fronts[0], net.now, 1), Some(b"one".to_vec()));
}

fn question() -> (Network, Vec<u8>) {
    let mut net = Network::new(3, 8, Faults::default());
    net.run(1_000.0, |_| {});
    let now = net.fronts[0].next_deadline();
    let bytes = net.fronts[0].run_round(now).remove(0).bytes;
    (net, bytes)
}

#[test_case(|b| b.extend([0; MAX_BYTES]), |g| g.stats.long; "too long")]
#[test_case(|b| b[0] = VERSION + 1, |g| g.stats.version; "another version")]
#[test_case(|b| b[2] ^= 1, |g| g.stats.foreign; "a foreign fleet")]
#[test_case(|b| b[20] ^= 4, |g| g.stats.spoilt; "a bit turned")]
#[test_case(|b| b.truncate(30), |g| g.stats.spoilt; "cut")]
#[test_case(|b| b.clear(), |g| g.stats.spoilt; "empty")]
fn what_is_not_of_the_exchange_is_counted_and_not_answered(
    spoil: fn(&mut Vec<u8>),
    count: fn(&Gossip) -> u64,
) {
    let (mut net, mut bytes) = question();
    spoil(&mut bytes);
    let now = net.now;
    for reader in &mut net.fronts[1..] {
        assert_eq!((reader.receive(now, &bytes), count(reader)), (Vec::new(), 1));
    }
}

#[test]
fn a_message_of_a_stranger_or_of_an_impossible_age_is_counted_and_not_answered() {
    let (mut net, bytes) = question();
    let fleet = u32::from_be_bytes([bytes[1], bytes[2], bytes[3], bytes[4]]);
    let now = net.now;
    let mut it = Message::decode(&bytes, fleet).expect("it reads");
    it.from ^= 1;
    assert_eq!(net.fronts[1].receive(now, &it.encode(fleet)), Vec::new());
    assert_eq!(net.fronts[1].stats.unknown, 1);
    it.from ^= 1;
    it.known[0].age = Some(u32::MAX);
    assert_eq!(net.fronts[1].receive(now, &it.encode(fleet)), Vec::new());
    assert_eq!(net.fronts[1].stats.ages, 1);
}

#[test]
fn an_answer_to_nothing_that_was_asked_is_not_taken() {
    let (mut net, bytes) = question();
    let now = net.now;
    let other = usize::from(net.fronts[2].stats.taken < net.fronts[1].stats.taken) + 1;
    net.fronts[other].put(1, b"news".to_vec());
    let answers = net.fronts[other].receive(now, &bytes);
    let mut deaf = Gossip::new(terms(0, 3), now, 1_000, 1).expect("fit");
    for answer in &answers {
        deaf.receive(now, &answer.bytes);
    }
    assert!(!answers.is_empty() && deaf.stats.late == answers.len() as u64, "{:?}", deaf.stats);
    assert_eq!(value(&deaf, now, other), None);
}

#[test]
fn a_rate_that_is_spent_holds_back_and_says_so() {
    let mut terms = terms(0, 40);
    terms.bytes_s = 300.0;
    let mut one = Gossip::new(terms, 0.0, 1, 1).expect("fit");
    let mut sent = 0;
    for _ in 0..100 {
        let now = one.next_deadline();
        sent += one.run_round(now).iter().map(|out| out.bytes.len()).sum::<usize>();
        assert!(sent as f64 <= 300.0 * (1.0 + now / 1_000.0));
    }
    assert!(one.stats.held_back > 0);
}

#[test]
fn a_cell_that_no_datagram_holds_is_not_put() {
    let mut one = Gossip::new(terms(0, 3), 0.0, 1, 1).expect("fit");
    assert!(one.put(1, vec![0; MAX_CELL_BYTES]) && !one.put(2, vec![0; MAX_CELL_BYTES + 1]));
}

#[test]
fn peers_that_are_listed_twice_end_the_start() {
    let mut twice = terms(0, 3);
    twice.peers.push("front-2".into());
    assert_eq!(Gossip::new(twice, 0.0, 1, 1).err(), Some(PeerListError::Twice("front-2".into())));
    let mut own = terms(0, 3);
    own.peers.push("front-0".into());
    assert_eq!(Gossip::new(own, 0.0, 1, 1).err(), Some(PeerListError::Twice("front-0".into())));
}

/// A reader whose clock is slow by all that is allowed must still not take a row for too young.
#[test]
fn a_slow_clock_is_reckoned_with() {
    let mut net = Network::new(2, 9, Faults::default());
    net.run(1_000.0, |_| {});
    let age = |at: f64| net.fronts[0].front(at, origin_of(&name(1))).expect("it is").age;
    let passed = 10_000.0 / (1.0 - MAX_CLOCK_DRIFT);
    assert!(age(net.now + 10_000.0) - age(net.now) >= passed - 1e-6);
}
