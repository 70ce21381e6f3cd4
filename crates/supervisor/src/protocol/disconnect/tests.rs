use super::*;

#[test]
fn the_on_call_page_explains_every_code() {
    let page = include_str!("../../../../../docs/on-call.md");
    for reason in DisconnectReason::ALL {
        assert!(
            page.contains(&format!("| `{reason}` |")),
            "{reason} is not explained"
        );
    }
}
