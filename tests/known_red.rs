//! How CI treats the tests that KNOWN-RED.txt lists: its script runs here with a stand-in for cargo that knows three tests.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

use rstest::rstest;

/// Lists the tests `one`, `two` and `twin` of the file `alpha`, and `three` and `twin` of `beta`; those in $RED fail. Notes
/// each call.
const CARGO: &str = r#"#!/bin/sh
echo "$*" >> "$CALLS"
case "$*" in
    *"--test gamma"*) exit 101 ;;
    *"--test alpha -- --list --exact "*) for t in one two twin; do [ "${*##* }" = $t ] && echo "$t: test"; done ;;
    *"--test beta -- --list --exact "*) for t in three twin; do [ "${*##* }" = $t ] && echo "$t: test"; done ;;
    *"--list"*) printf 'one: test\ntwo: test\ntwin: test\nthree: test\ntwin: test\n' ;;
    "test --locked" | *"--skip"*) for t in $RED; do case " $* " in *" --skip $t "*) ;; *) exit 101 ;; esac; done ;;
    *"--exact "*) for t in $RED; do [ "${*##* }" = $t ] && exit 101; done ;;
esac
exit 0
"#;

static PLACES: AtomicU64 = AtomicU64::new(0);

struct Place(PathBuf);

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Runs the script over a list, with these tests failing: whether it passed, what it printed, and the calls to cargo.
fn run(list: Option<&str>, red: &str) -> (bool, String, Vec<String>) {
    let name = format!("sillflow-known-red-{}-{}", std::process::id(), PLACES.fetch_add(1, SeqCst));
    let place = Place(std::env::temp_dir().join(name));
    fs::create_dir_all(&place.0).expect("a folder");
    let cargo = place.0.join("cargo");
    fs::write(&cargo, CARGO).expect("a file");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("a program");
    if let Some(list) = list {
        fs::write(place.0.join("KNOWN-RED.txt"), list).expect("a file");
    }
    let path = format!("{}:{}", place.0.display(), std::env::var("PATH").expect("a path"));
    let output = Command::new(concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/test"))
        .current_dir(&place.0)
        .env("PATH", path)
        .env("CALLS", place.0.join("calls"))
        .env("RED", red)
        .output()
        .expect("the script runs");
    let printed = [output.stdout, output.stderr].concat();
    let calls = fs::read_to_string(place.0.join("calls")).unwrap_or_default();
    let calls = calls.lines().map(str::to_owned).collect();
    (output.status.success(), String::from_utf8(printed).expect("text"), calls)
}

#[rstest]
#[case::absent(None)]
#[case::empty(Some(""))]
#[case::blank(Some("\n  \n"))]
fn without_lines_all_tests_bind(#[case] list: Option<&str>, #[values("", "two")] red: &str) {
    let (passed, _, calls) = run(list, red);
    assert_eq!((passed, calls), (red.is_empty(), vec!["test --locked".to_owned()]));
}

#[rstest]
fn a_listed_test_that_fails_is_printed_and_does_not_bind() {
    let (passed, printed, calls) = run(Some("alpha::two, a fault that is known, 31\n"), "two");
    assert!(passed, "{printed}");
    assert!(printed.contains("known red: alpha::two, a fault that is known, 31"), "{printed}");
    assert!(printed.contains("known red: alpha::two fails still"), "{printed}");
    assert!(calls.contains(&"test --locked -- --exact --skip two".to_owned()), "{calls:?}");
}

#[rstest]
fn a_listed_test_that_passes_now_is_told() {
    let (passed, printed, _) = run(Some("beta::three, a cause, 32"), "");
    assert!(passed && printed.contains("beta::three passes now"), "{printed}");
}

#[rstest]
fn every_other_test_still_binds() {
    let (passed, printed, _) = run(Some("alpha::two, a cause, 31"), "two three");
    assert!(!passed && printed.contains("alpha::two fails still"), "{printed}");
}

#[rstest]
#[case::four(
    "alpha::one, c, 1\nalpha::two, c, 1\nbeta::three, c, 1\nalpha::one, c, 1\n",
    "4 tests, at most 3"
)]
#[case::no_test("alpha::nine, c, 1", "no test: alpha::nine")]
#[case::part_of_a_name("alpha::tw, c, 1", "no test: alpha::tw")]
#[case::no_file("gamma::one, c, 1", "no test file: gamma::one")]
#[case::two_of_one_name("alpha::twin, c, 1", "not the only test of its name")]
#[case::no_cause("alpha::one, , 1", "not 'FILE::TEST, cause, issue'")]
#[case::no_issue("alpha::one, a cause", "not 'FILE::TEST, cause, issue'")]
#[case::an_option("--all, a cause, 1", "not 'FILE::TEST, cause, issue'")]
fn a_list_that_is_wrong_fails(#[case] list: &str, #[case] why: &str) {
    let (passed, printed, calls) = run(Some(list), "one two three");
    assert!(!passed && printed.contains(why), "{printed}");
    assert!(calls.iter().all(|call| call.contains("--list")), "{calls:?}");
}
