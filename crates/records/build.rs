//! Generates Rust types from the schema of records.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=../../proto/records.proto");
    let files = protox::compile(["records.proto"], ["../../proto"])?;
    let mut config = prost_build::Config::new();
    config.btree_map(["."]);
    config.type_attribute(".", "#[derive(serde::Serialize)]");
    config.compile_fds(files)?;
    Ok(())
}
