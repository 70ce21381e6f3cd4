use super::*;

#[test]
fn fleet_fields_match_the_field_table() {
    for (owner, name, field, _) in FIELDS {
        assert_eq!(field.is_fleet_field(), owner == Type::Nothing, "{name}");
    }
}
