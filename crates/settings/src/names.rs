//! The names of a deployment's zones, classes and machine kinds.

use serde_json::Value;

/// The names that reports and endpoint lists use, in the order of their numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentNames {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the classes of requests.
    pub classes: Vec<String>,
    /// Names of the machine kinds.
    pub machine_kinds: Vec<String>,
}

/// Reads the names from the settings' JSON object. An entry that is not text reads as an empty name.
pub fn names(json: &Value) -> DeploymentNames {
    let class_name = |class: &Value| text(class.get("name").unwrap_or(&Value::Null));
    DeploymentNames {
        zones: entries(json, "zones").iter().map(text).collect(),
        classes: entries(json, "classes").iter().map(class_name).collect(),
        machine_kinds: entries(json, "kinds").iter().map(text).collect(),
    }
}

/// The entries of an array of the object; none if it is absent or not an array.
fn entries<'a>(json: &'a Value, key: &str) -> &'a [Value] {
    let array = json.get(key).and_then(Value::as_array);
    array.map_or(&[], Vec::as_slice)
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("").to_string()
}
