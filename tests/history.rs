//! Tests of the linearizability checker: it accepts histories of a linearizable register and finds each kind of
//! violation.

mod rig;
mod support;

use rig::history::{Event, Op, Seen, violations};
use rstest::rstest;

fn event(op: Op, seen: Seen, began: u64, ended: u64) -> Event {
    Event { key: 0, op, seen, began, ended }
}

fn set(value: u64, version: u64, began: u64, ended: u64) -> Event {
    event(Op::Set { value, expect: None }, Seen::Set(version), began, ended)
}

fn set_unknown(value: u64, began: u64, ended: u64) -> Event {
    event(Op::Set { value, expect: None }, Seen::Unknown, began, ended)
}

fn cas(value: u64, expect: u64, seen: Seen, began: u64, ended: u64) -> Event {
    event(Op::Set { value, expect: Some(expect) }, seen, began, ended)
}

fn get(now: Option<(u64, u64)>, began: u64, ended: u64) -> Event {
    event(Op::Get, Seen::Value(now), began, ended)
}

#[rstest]
#[case::sequential(vec![get(None, 0, 1), set(1, 5, 2, 3), get(Some((1, 5)), 4, 5)])]
#[case::read_during_a_write(vec![set(1, 5, 0, 9), get(None, 1, 2), get(Some((1, 5)), 3, 4)])]
#[case::concurrent_writes_in_either_order(vec![set(1, 6, 0, 9), set(2, 5, 0, 9), get(Some((1, 6)), 10, 11)])]
#[case::unknown_write_never_applied(vec![set(1, 5, 0, 1), set_unknown(2, 2, 3), get(Some((1, 5)), 4, 5)])]
#[case::unknown_write_applied_later(vec![set(1, 5, 0, 1), set_unknown(2, 2, 3), get(Some((1, 5)), 4, 5), get(Some((2, 9)), 6, 7)])]
#[case::mismatch_reports_the_version(vec![set(1, 5, 0, 1), cas(2, 4, Seen::Mismatch(5), 2, 3)])]
#[case::compare_and_set_that_matches(vec![set(1, 5, 0, 1), cas(2, 5, Seen::Set(6), 2, 3), get(Some((2, 6)), 4, 5)])]
fn linearizable_histories_pass(#[case] events: Vec<Event>) {
    assert!(violations(&events).is_empty());
}

#[rstest]
#[case::acknowledged_write_is_lost(vec![set(1, 5, 0, 1), get(None, 2, 3)])]
#[case::an_old_value_after_a_new_one(vec![set(1, 5, 0, 1), set(2, 6, 2, 3), get(Some((1, 5)), 4, 5)])]
#[case::read_goes_back(vec![set(1, 5, 0, 1), set(2, 6, 2, 9), get(Some((2, 6)), 3, 4), get(Some((1, 5)), 5, 6)])]
#[case::value_that_nobody_wrote(vec![set(1, 5, 0, 1), get(Some((7, 5)), 2, 3)])]
#[case::write_applied_though_reported_not_done(vec![
    event(Op::Set { value: 3, expect: None }, Seen::Nothing, 0, 1), get(Some((3, 4)), 2, 3)])]
#[case::write_applied_twice(vec![
    set_unknown(1, 0, 1), get(Some((1, 4)), 2, 3), set(2, 5, 4, 5), get(Some((1, 6)), 6, 7)])]
#[case::two_changes_of_one_version(vec![
    set(1, 5, 0, 1), cas(2, 5, Seen::Set(6), 2, 3), cas(3, 5, Seen::Set(7), 4, 5)])]
#[case::two_first_writers(vec![cas(1, 0, Seen::Set(4), 0, 3), cas(2, 0, Seen::Set(5), 0, 3)])]
#[case::version_goes_back(vec![set(1, 5, 0, 1), set(2, 4, 2, 3)])]
fn violations_are_found(#[case] events: Vec<Event>) {
    assert_eq!(violations(&events), [0]);
}

#[rstest]
fn keys_are_checked_independently() {
    let other = Event { key: 1, ..get(None, 2, 3) };
    assert!(violations(&[set(1, 5, 0, 1), other]).is_empty());
}
