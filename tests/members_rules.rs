//! What members decide without I/O, over random histories: identities and marks, how a blank member comes in, changes
//! of members, snapshots in pieces.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use rstest::rstest;
use sillflow::store::decide::entry::{self, Entry};
use sillflow::store::decide::identity::{
    Fingerprint, Found, Identity, MOST_MARKS, Marked, Marks, Standing, judge, weigh,
};
use sillflow::store::decide::members::{Limits, MOST_MEMBERS, Place, Refusal, Seen, Sight, Step};
use sillflow::store::decide::pieces::{Announced, Arriving, PIECE_BYTES, PieceError, digest};

const LIMITS: Limits = Limits { heard_ms: 1500, near: 64, lost_ms: Some(10_000) };

fn place(number: u64) -> Place {
    Place { number, address: format!("10.0.0.{number}:7001"), spare: false }
}

fn seen(number: u64, silent_ms: u64) -> Seen {
    Seen { place: place(number), behind: Some(0), silent_ms: Some(silent_ms), gone_ms: silent_ms }
}

/// Members whose words are their numbers, of which the first `voters` vote; the first one leads.
fn sight(silent: &[u64], voters: u64) -> Sight {
    let members = (1..).zip(silent).map(|(number, silent)| (number, seen(number, *silent))).collect();
    Sight { members, voters: vec![(1..=voters).collect()], leader: 1 }
}

#[rstest]
fn a_directory_is_known_by_its_file() {
    let file = Fingerprint { device: 1, inode: 2, born: Some(3) };
    let own = Identity { member: 7, cluster: Some(1), mark: 4, file: Some(file) };
    assert_eq!(judge(None, Some(file), false), Found::Empty);
    assert_eq!(judge(Some(own.clone()), Some(file), false), Found::Own(own.clone()));
    assert_eq!(
        judge(Some(own.clone()), Some(file), true),
        Found::Copied(own.clone()),
        "its witness has seen more"
    );
    for other in [
        Fingerprint { device: 9, ..file },
        Fingerprint { inode: 9, ..file },
        Fingerprint { born: Some(9), ..file },
    ] {
        assert_eq!(judge(Some(own.clone()), Some(other), false), Found::Copied(own.clone()));
    }
}

fn kept(by: u64) -> Marked {
    Marked::Kept { by, belongs: true, as_of: 0 }
}

#[rstest]
#[case::alone(&[], vec![], false, Standing::Confirmed)]
#[case::all(&[2, 3], vec![kept(2), kept(3)], true, Standing::Confirmed)]
#[case::one_of_two_at_once(&[2, 3], vec![kept(2)], true, Standing::Wait)]
#[case::one_of_two_later(&[2, 3], vec![kept(2)], false, Standing::Confirmed)]
#[case::one_of_four_later(&[2, 3, 4, 5], vec![kept(2)], false, Standing::Wait)]
#[case::none(&[2, 3], vec![], false, Standing::Wait)]
#[case::the_same_one_twice(&[2, 3, 4, 5], vec![kept(2), kept(2)], false, Standing::Wait)]
#[case::a_new_directory_remembers_nothing(&[2, 3], vec![kept(9)], false, Standing::Wait)]
#[case::a_blank_one_neither(&[2, 3], vec![Marked::Blank], false, Standing::Wait)]
#[case::one_has_seen_more(&[2, 3], vec![kept(2), Marked::Older(5)], false, Standing::Older)]
#[case::a_stranger_that_has_seen_more(&[2, 3], vec![Marked::Older(5)], true, Standing::Older)]
#[case::taken_out(&[2, 3], vec![kept(2), Marked::Kept { by: 3, belongs: false, as_of: 8 }], false, Standing::Removed)]
#[case::not_yet_heard_of(&[2, 3], vec![kept(2), Marked::Kept { by: 3, belongs: false, as_of: 6 }], false, Standing::Confirmed)]
#[case::foreign(&[2, 3], vec![Marked::Foreign(4)], true, Standing::Foreign(4))]
fn a_member_takes_part_once_enough_have_kept_its_mark(
    #[case] others: &[u64],
    #[case] said: Vec<Marked>,
    #[case] patient: bool,
    #[case] standing: Standing,
) {
    assert_eq!(weigh(&others.iter().copied().collect(), &said, 7, patient), standing);
}

proptest! {
    /// Whatever starts, runs and copies there are, a mark that falls behind what was kept is found, and none else.
    #[test]
    fn a_directory_put_back_is_found(raises in 1..20u64, copied_at in 0..20u64, alone in proptest::collection::vec(any::<bool>(), 20)) {
        let mut marks = Marks::default();
        let (mut mark, mut copy) = (0, 0);
        let mut told = 0;
        for turn in 0..raises {
            if turn == copied_at {
                copy = mark;
            }
            mark += 1;
            // Marks that nobody heard of are no evidence.
            if !alone[turn as usize] {
                prop_assert!(marks.raise(7, mark - 1, mark).is_ok());
                told = mark;
            }
        }
        let back = marks.clone().raise(7, copy, copy + 1);
        prop_assert_eq!(back.is_err(), copy < told);
    }

    #[test]
    fn marks_are_bounded(members in proptest::collection::vec(1..1000u64, 1..300)) {
        let mut marks = Marks::default();
        for (turn, member) in members.iter().enumerate() {
            let _ = marks.raise(*member, turn as u64, turn as u64 + 1);
        }
        let kept = serde_json::to_value(&marks).expect("JSON")["seen"].as_object().expect("a map").len();
        prop_assert!(kept <= MOST_MARKS);
        let last = *members.last().expect("one");
        prop_assert!(marks.raise(last, 0, 1).is_err(), "the newest is not forgotten");
    }
}

fn blank(number: u64) -> (u64, entry::Seen) {
    (number, entry::Seen::Blank { member: 100 + number, place: place(number) })
}

fn silent(number: u64) -> (u64, entry::Seen) {
    (number, entry::Seen::Silent("refused".to_owned()))
}

fn belongs(number: u64, cluster: u64) -> (u64, entry::Seen) {
    (number, entry::Seen::Belongs { cluster, address: format!("a{number}") })
}

fn step(own: u64, may_form: bool, named: Vec<(u64, entry::Seen)>) -> Entry {
    entry::next(100 + own, &place(own), may_form, &named.into_iter().collect())
}

#[rstest]
fn a_store_is_formed_by_all_or_not_at_all() {
    let Entry::Form(founders) = step(1, true, vec![blank(2), blank(3)]) else { panic!("all are there") };
    assert_eq!(founders.keys().copied().collect::<Vec<_>>(), [101, 102, 103]);
    assert!(matches!(step(2, true, vec![blank(1), blank(3)]), Entry::Wait(why) if why.contains("lowest")));
    assert!(
        matches!(step(1, true, vec![blank(2), silent(3)]), Entry::Wait(why) if why.contains("missing: 3 (refused)"))
    );
    assert!(matches!(step(1, false, vec![blank(2)]), Entry::Wait(why) if why.contains("only joins")));
    let misnamed = vec![blank(2), (3, entry::Seen::Misnamed(7))];
    assert!(matches!(step(1, true, misnamed), Entry::Wait(why) if why.contains("3 (who answers is 7)")));
    assert!(matches!(step(1, true, vec![]), Entry::Form(founders) if founders.len() == 1));
}

#[rstest]
fn a_blank_member_goes_to_the_cluster_that_is_there() {
    let asked = step(1, true, vec![belongs(2, 5), silent(3)]);
    assert_eq!(asked, Entry::Ask { cluster: 5, at: vec!["a2".to_owned()] });
    let two = step(1, true, vec![belongs(2, 5), belongs(3, 6)]);
    assert!(matches!(two, Entry::Wait(why) if why.contains("different clusters")));
}

proptest! {
    /// Two members of one operator's file, whatever each sees, never form two clusters of it.
    #[test]
    fn only_one_member_forms_a_store(seen in proptest::collection::vec(0..4usize, 3)) {
        let formed = (1..=3u64).filter(|own| {
            let named = (1..=3).filter(|n| n != own).map(|n| match seen[n as usize - 1] {
                0 => silent(n),
                1 => belongs(n, 5),
                _ => blank(n),
            });
            matches!(step(*own, true, named.collect()), Entry::Form(_))
        });
        prop_assert!(formed.count() <= 1);
    }
}

#[rstest]
fn a_lost_voter_is_replaced_by_the_one_that_came_back_in_its_place() {
    let mut sight = sight(&[0, 100, 5000, 100], 3);
    sight.members.get_mut(&4).expect("it is there").place.number = 3;
    let voters = BTreeSet::from([1, 2, 4]);
    assert_eq!(sight.next(&LIMITS), Step::Replace { old: 3, new: 4, voters });
    // While the old one is heard, nobody takes its place.
    sight.members.insert(3, seen(3, 100));
    assert_eq!(sight.next(&LIMITS), Step::Rest);
}

#[rstest]
#[case::not_yet(9000, true, 0, false)]
#[case::in_time(10_000, true, 0, true)]
#[case::no_spare(10_000, false, 0, false)]
#[case::far_behind(10_000, true, 65, false)]
fn a_spare_comes_after_the_stated_time(
    #[case] gone: u64,
    #[case] spare: bool,
    #[case] behind: u64,
    #[case] comes: bool,
) {
    let mut sight = sight(&[0, 100, gone, 100], 3);
    let fourth = sight.members.get_mut(&4).expect("it is there");
    (fourth.place.spare, fourth.behind) = (spare, Some(behind));
    assert_eq!(matches!(sight.next(&LIMITS), Step::Replace { old: 3, new: 4, .. }), comes);
}

#[rstest]
fn wishes_are_turned_down_with_their_reason() {
    let sight = sight(&[0, 100, 100, 100], 3);
    assert_eq!(sight.promote(9, &LIMITS), Err(Refusal::Unknown(9)));
    assert_eq!(sight.promote(2, &LIMITS), Err(Refusal::Votes(2)));
    assert_eq!(sight.promote(4, &LIMITS), Ok((1..=4).collect()));
    assert_eq!(sight.leave(1, &LIMITS), Err(Refusal::Leads(1)));
    assert_eq!(sight.leave(4, &LIMITS), Ok((4, None)));
    assert_eq!(sight.replace(2, 3, &LIMITS), Err(Refusal::NoLearner(3)));
    let again = Place { number: 2, address: "elsewhere".to_owned(), spare: false };
    assert!(matches!(sight.admit(77, &again, &LIMITS), Err(Refusal::Alive { number: 2, .. })));
    let lonely = self::sight(&[0, 9000, 9000], 3);
    assert_eq!(lonely.leave(2, &LIMITS), Err(Refusal::Quorum { heard: 1, voters: 2 }));
}

#[rstest]
fn a_change_that_was_broken_off_is_finished_first() {
    let mut sight = sight(&[0, 100, 9000, 100], 3);
    sight.voters.push(BTreeSet::from([1, 2, 4]));
    assert_eq!(sight.next(&LIMITS), Step::Finish(BTreeSet::from([1, 2, 4])));
    assert_eq!(sight.promote(4, &LIMITS), Err(Refusal::UnderWay));
}

fn sights() -> impl Strategy<Value = Sight> {
    let member = (
        1..8u64,
        prop_oneof![Just(None), (0..30_000u64).prop_map(Some)],
        prop_oneof![Just(None), (0..200u64).prop_map(Some)],
        any::<bool>(),
    );
    (proptest::collection::vec(member, 1..MOST_MEMBERS), 1..6usize).prop_map(|(drawn, voters)| {
        let members: BTreeMap<u64, Seen> = (1..)
            .zip(drawn)
            .map(|(word, (number, silent_ms, behind, spare))| {
                let gone_ms = silent_ms.unwrap_or(20_000);
                (word, Seen { place: Place { spare, ..place(number) }, behind, silent_ms, gone_ms })
            })
            .collect();
        let voters = members.keys().copied().take(voters).collect();
        Sight { members, voters: vec![voters], leader: 1 }
    })
}

fn heard(sight: &Sight, word: u64) -> bool {
    word == 1 || sight.members[&word].silent_ms.is_some_and(|silent| silent <= LIMITS.heard_ms)
}

fn is_majority(sight: &Sight, voters: &BTreeSet<u64>) -> bool {
    voters.iter().filter(|word| heard(sight, **word)).count() * 2 > voters.len()
}

proptest! {
    /// Whatever the members look like, a step by itself keeps as many voters, takes out only who is silent, brings in
    /// only who has caught up, and leaves a majority that is heard.
    #[test]
    fn no_step_goes_below_the_quorum_that_is_left(sight in sights()) {
        if let Step::Replace { old, new, voters } = sight.next(&LIMITS) {
            prop_assert_eq!(voters.len(), sight.voters[0].len());
            prop_assert!(!heard(&sight, old) && heard(&sight, new));
            prop_assert!(sight.members[&new].behind.is_some_and(|behind| behind <= LIMITS.near) || new == 1);
            prop_assert!(is_majority(&sight, &voters) && is_majority(&sight, &sight.voters[0]));
        }
    }

    /// What an operator may do leaves a majority that is heard.
    #[test]
    fn no_wish_goes_below_the_quorum_that_is_left(sight in sights(), one in 1..8u64, other in 1..8u64) {
        if let Ok(voters) = sight.promote(one, &LIMITS) {
            prop_assert!(is_majority(&sight, &voters));
            prop_assert_eq!(voters.len(), sight.voters[0].len() + 1);
        }
        if let Ok((_, Some(voters))) = sight.leave(one, &LIMITS) {
            prop_assert!(is_majority(&sight, &voters));
        }
        if let Ok(Step::Replace { voters, .. }) = sight.replace(one, other, &LIMITS) {
            prop_assert!(is_majority(&sight, &voters));
        }
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// Pieces that are lost, doubled, or come over many links add up to what was sent, or are refused.
    #[test]
    fn a_snapshot_in_pieces_is_whole(length in 0..5 * PIECE_BYTES, faults in proptest::collection::vec(0..5u8, 0..40), seed in any::<u8>()) {
        let bytes: Vec<u8> = (0..length).map(|at| (at as u8).wrapping_mul(31) ^ seed).collect();
        let announced = Announced { length, digest: digest(&bytes) };
        let mut arriving = Arriving::default();
        let mut have = arriving.announce(&announced, length).expect("it fits");
        let mut faults = faults.into_iter();
        while have < length {
            let end = length.min(have + PIECE_BYTES);
            match faults.next() {
                Some(0) => prop_assert_eq!(arriving.announce(&announced, length), Ok(have)),
                Some(1) if have > 0 => prop_assert_eq!(arriving.take(&announced.digest, 0, &bytes[..1]), Ok(have)),
                Some(2) => prop_assert!(arriving.take(&announced.digest, have + 1, &bytes[have..end]).is_err()),
                Some(3) => prop_assert!(arriving.finish(&announced.digest).is_err()),
                _ => have = arriving.take(&announced.digest, have, &bytes[have..end]).expect("it fits"),
            }
        }
        prop_assert_eq!(arriving.finish(&announced.digest), Ok(bytes));
    }
}

#[rstest]
fn a_damaged_snapshot_begins_anew() {
    let announced = Announced { length: 3, digest: digest(b"abc") };
    let mut arriving = Arriving::default();
    assert_eq!(arriving.take(&announced.digest, 0, b"abc"), Err(PieceError::NotAnnounced));
    assert_eq!(arriving.announce(&announced, 2), Err(PieceError::TooLong(3, 2)));
    arriving.announce(&announced, 3).expect("it fits");
    arriving.take(&announced.digest, 0, b"abX").expect("it fits");
    assert_eq!(arriving.finish(&announced.digest), Err(PieceError::Damaged));
    assert_eq!(arriving.announce(&announced, 3), Ok(0));
}
