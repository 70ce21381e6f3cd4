//! The names of a deployment's zones, classes and machine kinds.

use serde_json::Value;

/// The names that reports and endpoint lists use, in the order of their ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeploymentNames {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the classes of requests.
    pub classes: Vec<String>,
    /// Names of the machine kinds.
    pub machine_kinds: Vec<String>,
}

/// Reads the names from the settings' JSON object. An entry that is not a string reads as an empty name.
pub fn names(json: &Value) -> DeploymentNames {
    let class_name = |class: &Value| string(class.get("name").unwrap_or(&Value::Null));
    DeploymentNames {
        zones: entries(json, "zones").iter().map(string).collect(),
        classes: entries(json, "classes").iter().map(class_name).collect(),
        machine_kinds: entries(json, "kinds").iter().map(string).collect(),
    }
}

/// Returns the entries of an array of the object; none if it is absent or not an array.
fn entries<'a>(json: &'a Value, key: &str) -> &'a [Value] {
    let array = json.get(key).and_then(Value::as_array);
    array.map_or(&[], Vec::as_slice)
}

fn string(value: &Value) -> String {
    value.as_str().unwrap_or("").to_string()
}
