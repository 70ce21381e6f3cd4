use proptest::prelude::*;

use super::*;

const TEXT: &str = "at_ms,class,zone,key,work_ms\n1000,file,a,p1,310\n# a remark\n900.5,read,b,,\n6000,file,a,p1,\n20000,file,,p1,\n";

#[test]
fn lines_out_of_order_and_keys_that_come_twice() {
    let traffic = read(TEXT.as_bytes()).expect("traffic");
    let times: Vec<u64> = traffic.arrivals.iter().map(|of| of.at_us).collect();
    assert_eq!(times, [0, 99_500, 5_099_500, 19_099_500]);
    assert_eq!(
        (traffic.out_of_order, traffic.keys, traffic.length_us()),
        (1, 1, 19_099_500)
    );
    assert_eq!(
        (traffic.repeats(10_000_000), traffic.repeats(20_000_000)),
        (1, 2)
    );
    assert_eq!(
        (traffic.classes.join(" "), traffic.zones.join(" ")),
        ("file read".into(), "a b".into())
    );
    let mut bytes = Vec::new();
    write(&traffic, &mut bytes).expect("written");
    let again = read(bytes.as_slice()).expect("its own text");
    assert_eq!(again.repeats(10_000_000), 1);
    assert_eq!(
        again.arrivals.iter().map(|of| of.at_us).collect::<Vec<_>>(),
        times
    );
}

#[test]
fn wrong_lines_are_told_with_their_numbers() {
    let fault = read("at_ms,class\n1,x\nsoon,x\n2,\n-3,x\nnan,x\n".as_bytes())
        .expect_err("faults")
        .to_string();
    assert!(
        fault.starts_with("4 lines are wrong: line 3: \"soon\" is no time"),
        "{fault}"
    );
    assert!(
        fault.contains("line 4: no class") && fault.contains("line 6"),
        "{fault}"
    );
    assert!(read("when,class\n".as_bytes())
        .expect_err("a head")
        .to_string()
        .contains("must name at_ms"));
    assert!(read("at_ms,class,work_ms\n1,x,much\n".as_bytes())
        .expect_err("work")
        .to_string()
        .contains("no work"));
    assert!(read("at_ms,class\n".as_bytes())
        .expect("nothing came")
        .arrivals
        .is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_bytes_are_read_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300), kept in 0..100usize) {
        let mut text = TEXT.as_bytes()[..kept.min(TEXT.len())].to_vec();
        text.extend(bytes);
        if let Ok(traffic) = read(text.as_slice()) {
            prop_assert!(traffic.arrivals.windows(2).all(|two| two[0].at_us <= two[1].at_us));
        }
    }
}
