//! Search for the position of a field in a text, outside comments and strings.

use crate::error::Position;

/// Starts a comment, which ends with its line.
const COMMENT: char = '#';

/// The position of the first occurrence of a field's name as a complete word.
pub fn find_field(text: &str, field: &str) -> Option<Position> {
    let code = blank_comments_and_strings(text);
    let offset = find_word(&code, field)?;
    Some(Position::of_offset(text, offset))
}

/// The position of a field within a block: from the occurrence `index` of the block's name, counted from 0, up to the next
/// one. If the field is not given there, this is the start of the block.
pub fn find_field_in_block(text: &str, block: &str, index: usize, field: &str) -> Option<Position> {
    let code = blank_comments_and_strings(text);
    let starts = find_words(&code, block);
    let start = *starts.get(index)?;
    let end = starts.get(index + 1).copied().unwrap_or(code.len());
    let body = code.get(start..end)?;
    let offset = if field == block {
        0
    } else {
        find_word(body, field).unwrap_or(0)
    };
    Some(Position::of_offset(text, start + offset))
}

/// Byte offsets of all occurrences of a word.
fn find_words(code: &str, word: &str) -> Vec<usize> {
    let mut offsets = Vec::new();
    let mut searched = 0;
    while let Some(offset) = code.get(searched..).and_then(|rest| find_word(rest, word)) {
        offsets.push(searched + offset);
        searched += offset + word.len();
    }
    offsets
}

/// The byte offset of the first occurrence of a word that is not part of a longer one.
fn find_word(code: &str, word: &str) -> Option<usize> {
    code.match_indices(word)
        .map(|(offset, _)| offset)
        .find(|offset| is_complete_word(code, *offset, word.len()))
}

fn is_complete_word(code: &str, offset: usize, length: usize) -> bool {
    let before = code.get(..offset).and_then(|text| text.chars().next_back());
    let after = code
        .get(offset + length..)
        .and_then(|text| text.chars().next());
    !before.is_some_and(is_word_character) && !after.is_some_and(is_word_character)
}

fn is_word_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Replaces comments and strings by as many bytes of blanks, so that offsets stay valid.
fn blank_comments_and_strings(text: &str) -> String {
    let mut delimiter = None;
    let mut is_escaped = false;
    let mut code = String::with_capacity(text.len());
    for character in text.chars() {
        let is_code = delimiter.is_none() && !is_delimiter(character);
        delimiter = next_delimiter(delimiter, is_escaped, character);
        is_escaped = delimiter.is_some() && character == '\\' && !is_escaped;
        if is_code || character == '\n' {
            code.push(character);
        } else {
            code.extend(std::iter::repeat_n(' ', character.len_utf8()));
        }
    }
    code
}

/// Whether a character opens a comment or a string.
fn is_delimiter(character: char) -> bool {
    matches!(character, COMMENT | '"' | '\'')
}

/// The delimiter of the comment or string that is open after a character.
fn next_delimiter(open: Option<char>, is_escaped: bool, character: char) -> Option<char> {
    let Some(delimiter) = open else {
        return is_delimiter(character).then_some(character);
    };
    let closes = if delimiter == COMMENT {
        character == '\n'
    } else {
        !is_escaped && (character == delimiter || character == '\n')
    };
    (!closes).then_some(delimiter)
}
