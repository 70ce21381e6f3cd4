use super::*;

/// A name from the environment must not direct records elsewhere.
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
