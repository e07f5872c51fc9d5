//! A text that is the one kept passes, any other is told with its first line that differs.
use sagetrail_golden::{assert_kept, without_type_names, Transcript};

const KEPT: &str = "tests/fixtures/two.txt";

fn transcript(last_status: u16) -> Transcript {
    let mut transcript = Transcript::default();
    transcript.add_answer("first", 200, Some(2), b"{}");
    transcript.add_answer("second", last_status, None, b"");
    transcript
}

#[test]
fn the_same_text_passes() {
    transcript(204).assert_kept(KEPT);
}

#[test]
#[should_panic(expected = "differs from line 6:\n  kept: 204\n  now:  200")]
fn another_line_is_told() {
    transcript(200).assert_kept(KEPT);
}

#[test]
#[should_panic(expected = "differs from line 8")]
fn one_line_more_is_told() {
    let mut transcript = transcript(204);
    transcript.add("third", "more");
    transcript.assert_kept(KEPT);
}

#[test]
#[should_panic(expected = "differs from line 1")]
fn a_text_that_is_not_kept_is_told() {
    assert_kept("tests/fixtures/none.txt", "text");
}

#[test]
fn names_of_types_are_masked_and_nothing_else() {
    let text = "invalid length 1, expected struct Job_Spec2 with 6 elements, expected structure x";
    let masked = "invalid length 1, expected struct (name) with 6 elements, expected structure x";
    assert_eq!(without_type_names(text), masked);
    assert_eq!(
        without_type_names("expected struct A"),
        "expected struct (name)"
    );
    assert_eq!(without_type_names("no name"), "no name");
}
