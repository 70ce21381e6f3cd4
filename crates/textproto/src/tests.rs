use super::*;

#[test]
fn a_field_is_found_behind_strings_and_comments_and_within_its_part() {
    let text = "a { name: \"é # \\\" keep\" keep: 1 } # keep\na { name: 'it\\'s' }\nkeep: 2";
    let at = |place: Option<Place>| place.map(|place| (place.line, place.column));
    assert_eq!(at(find(text, "keep")), Some((1, 25)));
    assert_eq!(at(find_within(text, "a", 0, "keep")), Some((1, 25)));
    assert_eq!(at(find_within(text, "a", 1, "name")), Some((2, 5)));
    assert_eq!(
        at(find_within(text, "a", 1, "shed")),
        Some((2, 1)),
        "the part's begin"
    );
    assert_eq!(
        (find_within(text, "a", 2, "name"), find(text, "kee")),
        (None, None)
    );
}
