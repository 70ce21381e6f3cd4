use super::*;

#[test]
fn a_field_is_found_after_strings_and_comments_and_within_its_block() {
    let text = "a { name: \"é # \\\" keep\" keep: 1 } # keep\na { name: 'it\\'s' }\nkeep: 2";
    let at = |position: Option<Position>| position.map(|position| (position.line, position.column));
    assert_eq!(at(find_field(text, "keep")), Some((1, 25)));
    assert_eq!(at(find_field_in_block(text, "a", 0, "keep")), Some((1, 25)));
    assert_eq!(at(find_field_in_block(text, "a", 1, "name")), Some((2, 5)));
    assert_eq!(
        at(find_field_in_block(text, "a", 1, "shed")),
        Some((2, 1)),
        "the block's start"
    );
    assert_eq!(
        (
            find_field_in_block(text, "a", 2, "name"),
            find_field(text, "kee")
        ),
        (None, None)
    );
}
