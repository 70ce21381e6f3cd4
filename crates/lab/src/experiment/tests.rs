use super::*;

const CASE: &str = "case { name: 'c' scenario { kind { servers: 3 } class { name: 'x' } } }";

#[test]
fn a_sweep_makes_variants_of_the_first() {
    let text = format!(
            "{CASE} variant {{ name: 'now' }} sweep {{ field: 'rules.drain_grace_s' value: 1 value: 4 }}"
        );
    let plan = read(&text, Path::new(".")).expect("a plan");
    let names: Vec<&str> = plan
        .variants
        .iter()
        .map(|variant| variant.name.as_str())
        .collect();
    assert_eq!(
        names,
        ["now", "rules.drain_grace_s 1", "rules.drain_grace_s 4"]
    );
    assert_eq!(plan.arms[2].scenario.drain_grace_us, 4_000_000);
    assert_eq!(plan.comparisons(), 2);
    assert!(plan.arms[0].digest != plan.arms[1].digest);
    assert_eq!(plan.precision.max_looks(), 4);
    assert!((plan.precision.look_confidence() - 0.9875).abs() < 1e-12);
}

#[test]
fn all_errors_are_reported() {
    let text = "case { file: '/nowhere.txtpb' }\nvariant { name: 'a' } variant { name: 'a' }\n\
            sweep { field: 'rules.grace' value: 1 }\nprecision { confidence: 2 pilot: 1 }";
    let errors: Vec<String> = read(text, Path::new("."))
        .expect_err("errors")
        .iter()
        .map(|error| error.to_string())
        .collect();
    for expected in [
        "/nowhere.txtpb",
        "two variants are named",
        "no field \"grace\"",
        "confidence 2",
        "pilot is 1 and most is 64",
    ] {
        assert!(
            errors.iter().any(|error| error.contains(expected)),
            "{expected}: {errors:#?}"
        );
    }
    assert!(read("", Path::new(".")).expect_err("no scenario")[0]
        .message
        .contains("no scenario"));
    let invalid =
        format!("{CASE} variant {{ name: 'v' change {{ rules {{ fall_multiple: 0 }} }} }}");
    assert!(
        read(&invalid, Path::new(".")).expect_err("an invalid scenario")[0]
            .message
            .contains("c with v: fall_multiple")
    );
}
