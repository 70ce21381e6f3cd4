use super::*;

#[test]
fn load_reports_are_decoded() {
    let load = decode_load_report("TEXT inflight=7, queue=2, util=0.61\n");
    assert_eq!(
        load,
        LoadReport {
            in_flight: Some(7.0),
            queued: Some(2.0),
            utilization: Some(0.61),
            ..LoadReport::default()
        }
    );
    assert_eq!(
        decode_load_report("queue=NaN, util=-1, new=3"),
        LoadReport::default()
    );
    assert_eq!(decode_load_report(""), LoadReport::default());
}
