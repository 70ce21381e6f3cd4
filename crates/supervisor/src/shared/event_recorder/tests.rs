use super::*;

/// A configured supervisor name must not place records outside of the records directory.
#[test]
fn a_directory_name_cannot_leave_the_records_directory() {
    let named: Vec<String> = ["n3", "../../etc", "a/b c", "..", "", "é"]
        .map(directory_name)
        .into();
    assert_eq!(
        named,
        ["n3", "_.._etc", "a_b_c", "supervisor", "supervisor", "_"]
    );
}
