use super::*;

#[test]
fn fields_know_whose_they_are() {
    for (of, name, field, _) in FIELDS {
        assert_eq!(field.is_of_fleet(), of == Type::Nothing, "{name}");
    }
}
