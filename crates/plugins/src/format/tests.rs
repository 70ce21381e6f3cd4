use super::*;

#[test]
fn spaces_and_indentation_are_normalized() {
    let text = "plugin  \"p\"   version 1 host 1\n\n\n# why\nlet s=[ 1,-2 , 3]   # three\nstate m=map\nhook turn( ){\nif fleet.strain>0.5 and not(1<2){ m [ \"k\" ]=min( 1,- 2 )-3\n} else {\nnote( \"a # b\" )\n}\n}\n";
    let expected = "plugin \"p\" version 1 host 1\n\n# why\nlet s = [1, -2, 3]  # three\nstate m = map\nhook turn() {\n    if fleet.strain > 0.5 and not (1 < 2) { m[\"k\"] = min(1, -2) - 3\n    } else {\n        note(\"a # b\")\n    }\n}\n";
    assert_eq!(format(text).expect("tokens"), expected);
    assert_eq!(format(expected).expect("tokens"), expected);
    assert!(format("let a = ~").is_err());
    assert_eq!(format("\n\n").expect("an empty source"), "");
}

#[test]
fn repository_plugins_are_formatted() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plugins");
    for entry in std::fs::read_dir(folder).expect("the folder") {
        let path = entry.expect("a file").path();
        let text = std::fs::read_to_string(&path).expect("its text");
        assert_eq!(format(&text).expect("tokens"), text, "{}", path.display());
    }
}
