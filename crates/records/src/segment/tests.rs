use super::*;

#[test]
fn names_tell_the_order_and_nothing_else_is_a_segment() {
    let id = SegmentId {
        incarnation: 12,
        number: 3,
    };
    let path = id.path(Path::new("/x"));
    assert_eq!(path, Path::new("/x/00000012-000003.seg"));
    assert_eq!(SegmentId::of("00000012-000003.seg"), Some(id));
    assert_eq!(
        SegmentId::of("123456789-000003.seg").map(|id| id.incarnation),
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
        assert_eq!(SegmentId::of(other), None, "{other}");
    }
}
