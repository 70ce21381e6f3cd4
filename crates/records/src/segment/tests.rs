use super::*;

#[test]
fn file_names_are_parsed_and_other_files_are_ignored() {
    let id = SegmentId {
        incarnation: 12,
        number: 3,
    };
    let path = id.path(Path::new("/x"));
    assert_eq!(path, Path::new("/x/00000012-000003.seg"));
    assert_eq!(SegmentId::from_file_name("00000012-000003.seg"), Some(id));
    assert_eq!(
        SegmentId::from_file_name("123456789-000003.seg").map(|id| id.incarnation),
        Some(123_456_789)
    );
    for other in [
        "lock",
        "a-b.seg",
        "1.seg",
        "00000012-000003.idx",
        "+1-2.seg",
        "-.seg",
    ] {
        assert_eq!(SegmentId::from_file_name(other), None, "{other}");
    }
}
