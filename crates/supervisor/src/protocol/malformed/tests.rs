use super::*;

#[test]
fn too_many_malformed_messages_in_a_row_exhaust_the_budget_and_a_good_one_restores_it() {
    let mut budget = ErrorBudget::default();
    let mut tolerated = 0;
    for _ in 0..3 {
        while budget.spend(MalformedMessage::NotAMessage).is_ok() && tolerated < 1000 {
            tolerated += 1;
        }
        budget.restore();
    }
    assert_eq!(tolerated, 3 * (MAX_CONSECUTIVE_ERRORS - 1));
}
