//! Compiles the schema of experiments, and stores its descriptors for the text format parser. Scenarios and limits use
//! the types of the crates that define them.

use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=../../proto/lab.proto");
    println!("cargo:rerun-if-changed=../../proto/model.proto");
    println!("cargo:rerun-if-changed=../../proto/limits.proto");
    let files = protox::compile(["lab.proto"], ["../../proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("lab.bin"), files.encode_to_vec())?;
    let mut config = prost_build::Config::new();
    config.extern_path(".chutegrade.model.v1", "::chutegrade_model::scenario::pb");
    config.extern_path(".chutegrade.limits.v1", "::chutegrade_limits::pb");
    config.compile_fds(files)?;
    Ok(())
}
