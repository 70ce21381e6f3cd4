use chutegrade_engine::Retry;

use super::*;

fn names(names: &[&str]) -> Vec<Rc<str>> {
    names.iter().map(|name| Rc::from(*name)).collect()
}

#[test]
fn an_order_is_encoded_as_the_parts_of_one_message() {
    let weights = vec![ServerWeight::new("s-1", 1.5), ServerWeight::new("s-2", 0.0)];
    let full_table = TableUpdate {
        replace: true,
        weights,
        admission: Some(AdmissionLevel {
            level: 0.9,
            retry: Retry::IfNotExecuted,
        }),
        classes: vec![],
    };
    let level = TableUpdate {
        classes: names(&["order"]),
        admission: Some(AdmissionLevel {
            level: 1.0,
            retry: Retry::Never,
        }),
        ..TableUpdate::default()
    };
    let full_order = Order {
        updates: vec![full_table, level],
        suspended: names(&["s-3"]),
        resumed: names(&["s-4", "s-5"]),
        acknowledge: Some(905),
    };
    assert_eq!(
        encode_order(&full_order),
        "push replace=1 rows=s-1:1.5,s-2:0 gate=0.9 again=1 part=1\r\n\
         push for=order gate=1 again=0 drop=s-3 undrop=s-4,s-5 stamp=905\r\n"
    );
    let suspension = Order {
        suspended: names(&["s-77"]),
        acknowledge: Some(1),
        ..Order::default()
    };
    assert_eq!(encode_order(&suspension), "push drop=s-77 stamp=1\r\n");
    let empty = TableUpdate {
        replace: true,
        classes: names(&["lookup"]),
        ..TableUpdate::default()
    };
    let cleared = Order {
        updates: vec![empty],
        ..Order::default()
    };
    assert_eq!(encode_order(&cleared), "push for=lookup replace=1\r\n");
}

/// Only the first part of a table that is longer than a line replaces the old table; the others add to it.
#[test]
fn a_long_table_is_split_into_parts() {
    let weight =
        |number: usize| ServerWeight::new(format!("server-with-a-long-name-{number:08}"), 0.125);
    let update = TableUpdate {
        replace: true,
        weights: (0..60_000).map(weight).collect(),
        ..TableUpdate::default()
    };
    let text = encode_order(&Order {
        updates: vec![update],
        ..Order::default()
    });
    let lines: Vec<&str> = text.split_terminator("\r\n").collect();
    assert!(lines.len() > 1 && lines.iter().all(|line| line.len() < 1024 * 1024));
    assert_eq!(
        lines
            .iter()
            .filter(|line| line.contains("replace=1"))
            .count(),
        1
    );
    assert!(lines[0].contains("replace=1"));
    assert_eq!(
        lines
            .iter()
            .filter(|line| line.ends_with(" part=1"))
            .count(),
        lines.len() - 1
    );
    assert_eq!(text.matches(":0.125").count(), 60_000);
}
