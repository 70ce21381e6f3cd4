use proptest::prelude::*;

use super::*;

const TEXT: &str = "at_ms,class,zone,key,work_ms\n1000,file,a,p1,310\n# a remark\n900.5,read,b,,\n6000,file,a,p1,\n20000,file,,p1,\n";

#[test]
fn lines_are_sorted_by_time_and_repeated_keys_are_retries() {
    let traffic = read(TEXT.as_bytes()).expect("traffic");
    let times: Vec<u64> = traffic
        .arrivals
        .iter()
        .map(|arrival| arrival.at_us)
        .collect();
    assert_eq!(times, [0, 99_500, 5_099_500, 19_099_500]);
    assert_eq!(
        (traffic.out_of_order, traffic.keys, traffic.duration_us()),
        (1, 1, 19_099_500)
    );
    assert_eq!(
        (
            traffic.count_retries(10_000_000),
            traffic.count_retries(20_000_000)
        ),
        (1, 2)
    );
    assert_eq!(
        (traffic.classes.join(" "), traffic.zones.join(" ")),
        ("file read".into(), "a b".into())
    );
    let mut bytes = Vec::new();
    write(&traffic, &mut bytes).expect("written");
    let reread = read(bytes.as_slice()).expect("reread");
    assert_eq!(reread.count_retries(10_000_000), 1);
    assert_eq!(
        reread
            .arrivals
            .iter()
            .map(|arrival| arrival.at_us)
            .collect::<Vec<_>>(),
        times
    );
}

#[test]
fn invalid_lines_are_reported_with_their_numbers() {
    let error = read("at_ms,class\n1,x\nsoon,x\n2,\n-3,x\nnan,x\n".as_bytes())
        .expect_err("errors")
        .to_string();
    assert!(
        error.starts_with("4 invalid lines: line 3: \"soon\" is not a valid time"),
        "{error}"
    );
    assert!(
        error.contains("line 4: the class is missing") && error.contains("line 6"),
        "{error}"
    );
    assert!(read("when,class\n".as_bytes())
        .expect_err("a header")
        .to_string()
        .contains("must name at_ms"));
    assert!(read("at_ms,class,work_ms\n1,x,much\n".as_bytes())
        .expect_err("work")
        .to_string()
        .contains("not a valid service time"));
    assert!(read("at_ms,class\n".as_bytes())
        .expect("no requests")
        .arrivals
        .is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_yield_sorted_traffic_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..300), prefix_length in 0..100usize) {
        let mut text = TEXT.as_bytes()[..prefix_length.min(TEXT.len())].to_vec();
        text.extend(bytes);
        if let Ok(traffic) = read(text.as_slice()) {
            prop_assert!(traffic.arrivals.windows(2).all(|pair| pair[0].at_us <= pair[1].at_us));
        }
    }
}
