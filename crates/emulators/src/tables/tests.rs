use super::*;

#[test]
fn orders_are_applied_and_invalid_orders_are_rejected() {
    let mut tables = Tables::default();
    let first = tables.apply("push replace=1 rows=s-1:1.5,s-2:0.2 gate=0.9 again=1 part=1");
    assert_eq!((first, tables.messages), (Ok(None), 0));
    assert_eq!(
        tables.apply("push drop=s-2 stamp=905"),
        Ok(Some("905".to_string()))
    );
    assert_eq!(
        (
            tables.picks("order"),
            tables.level("order"),
            tables.messages
        ),
        (vec!["s-1"], 0.9, 1)
    );
    assert_eq!(
        tables.apply("push for=order rows=s-1:0 undrop=s-2"),
        Ok(None)
    );
    assert_eq!(
        (tables.picks("order"), tables.picks("lookup")),
        (vec!["s-2"], vec!["s-1", "s-2"])
    );
    for invalid in [
        "pull",
        "push for=x",
        "push rows=s-1",
        "push rows=s-1:-1",
        "push gate=0.5",
        "push rows=s-1:NaN",
    ] {
        assert!(tables.apply(invalid).is_err(), "{invalid}");
    }
}
