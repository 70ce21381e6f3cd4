use super::*;

#[test]
fn the_on_call_page_explains_every_code() {
    let page = include_str!("../../../../../docs/on-call.md");
    for ending in Ending::ALL {
        assert!(
            page.contains(&format!("| `{ending}` |")),
            "{ending} is not explained"
        );
    }
}
