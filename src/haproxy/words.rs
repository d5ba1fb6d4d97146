//! The words of one line: parted by blanks, with quotes, backslashes and comments as HAProxy has them.

use winnow::ascii::{space0, space1};
use winnow::combinator::{alt, delimited, eof, opt, preceded, repeat, separated, terminated};
use winnow::token::{any, none_of, rest, take_till};
use winnow::{ModalResult, Parser};

fn escaped(input: &mut &str) -> ModalResult<char> {
    preceded('\\', any).parse_next(input)
}

/// Single quotes keep all as it is; double quotes leave the backslash its meaning.
fn quoted(input: &mut &str) -> ModalResult<String> {
    let strong = delimited('\'', take_till(0.., '\''), '\'').map(str::to_owned);
    let weak = delimited('"', repeat(0.., alt((escaped, none_of(['"', '\\'])))), '"');
    alt((strong, weak)).parse_next(input)
}

fn word(input: &mut &str) -> ModalResult<String> {
    let plain = none_of([' ', '\t', '"', '\'', '\\', '#']);
    let part = alt((quoted, alt((escaped, plain)).map(String::from)));
    repeat(1.., part).parse_next(input)
}

fn line(input: &mut &str) -> ModalResult<Vec<String>> {
    let comment = opt(preceded('#', rest));
    let words = separated(0.., word, space1);
    terminated(delimited(space0, words, space0), (comment, eof)).parse_next(input)
}

/// The words of a line, none where it is empty or a comment.
pub(super) fn split(text: &str) -> Result<Vec<String>, String> {
    line.parse(text).map_err(|_| "quotes or a backslash without an end".to_owned())
}
