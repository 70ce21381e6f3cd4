//! Finds the position of a field in a text, outside comments and strings.

use crate::error::Position;

/// Starts a comment, which extends to the end of the line.
const COMMENT: char = '#';

/// Returns the position of the first occurrence of a field's name as a complete identifier.
pub fn find_field(text: &str, field: &str) -> Option<Position> {
    let code = blank_comments_and_strings(text);
    let offset = find_identifier(&code, field)?;
    Some(Position::of_offset(text, offset))
}

/// Returns the position of a field within a block, which extends from the occurrence `index` of the block's name, counted
/// from 0, to the next occurrence. If the block does not contain the field, returns the start of the block.
pub fn find_field_in_block(text: &str, block: &str, index: usize, field: &str) -> Option<Position> {
    let code = blank_comments_and_strings(text);
    let starts = find_identifiers(&code, block);
    let start = *starts.get(index)?;
    let end = starts.get(index + 1).copied().unwrap_or(code.len());
    let body = code.get(start..end)?;
    let offset = if field == block {
        0
    } else {
        find_identifier(body, field).unwrap_or(0)
    };
    Some(Position::of_offset(text, start + offset))
}

/// Returns the byte offsets of all occurrences of an identifier.
fn find_identifiers(code: &str, identifier: &str) -> Vec<usize> {
    let mut offsets = Vec::new();
    let mut end = 0;
    while let Some(offset) = code
        .get(end..)
        .and_then(|rest| find_identifier(rest, identifier))
    {
        offsets.push(end + offset);
        end += offset + identifier.len();
    }
    offsets
}

/// Returns the byte offset of the first occurrence of an identifier that is not part of a longer one.
fn find_identifier(code: &str, identifier: &str) -> Option<usize> {
    code.match_indices(identifier)
        .map(|(offset, _)| offset)
        .find(|offset| is_complete_identifier(code, *offset, identifier.len()))
}

fn is_complete_identifier(code: &str, offset: usize, length: usize) -> bool {
    let before = code.get(..offset).and_then(|text| text.chars().next_back());
    let after = code
        .get(offset + length..)
        .and_then(|text| text.chars().next());
    !before.is_some_and(is_identifier_character) && !after.is_some_and(is_identifier_character)
}

fn is_identifier_character(character: char) -> bool {
    character.is_alphanumeric() || character == '_'
}

/// Replaces comments and strings by blanks of the same length in bytes, so that offsets stay valid.
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

/// Returns whether a character opens a comment or a string.
fn is_delimiter(character: char) -> bool {
    matches!(character, COMMENT | '"' | '\'')
}

/// Returns the delimiter of the comment or string that is open after a character.
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
