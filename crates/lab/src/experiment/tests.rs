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
    assert_eq!(plan.precision.looks(), 4);
    assert!((plan.precision.of_a_look() - 0.9875).abs() < 1e-12);
}

#[test]
fn all_faults_are_told() {
    let text = "case { file: '/nowhere.txtpb' }\nvariant { name: 'a' } variant { name: 'a' }\n\
            sweep { field: 'rules.grace' value: 1 }\nprecision { confidence: 2 pilot: 1 }";
    let faults: Vec<String> = read(text, Path::new("."))
        .expect_err("faults")
        .iter()
        .map(|f| f.to_string())
        .collect();
    for wanted in [
        "/nowhere.txtpb",
        "two variants are named",
        "no field \"grace\"",
        "confidence 2",
        "from 1 to 64 runs",
    ] {
        assert!(
            faults.iter().any(|said| said.contains(wanted)),
            "{wanted}: {faults:#?}"
        );
    }
    assert!(read("", Path::new(".")).expect_err("nothing")[0]
        .message
        .contains("no scenario"));
    let impossible =
        format!("{CASE} variant {{ name: 'v' change {{ rules {{ fall_multiple: 0 }} }} }}");
    assert!(read(&impossible, Path::new(".")).expect_err("a fault")[0]
        .message
        .contains("c with v: fall_multiple"));
}
