//! Compiles `operator.proto`, and writes its descriptors for the parser of the text format.

use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=../../proto/operator.proto");
    println!("cargo:rerun-if-changed=../../proto/limits.proto");
    let files = protox::compile(["operator.proto"], ["../../proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("operator.bin"), files.encode_to_vec())?;
    let mut config = prost_build::Config::new();
    config.extern_path(".chutegrade.limits.v1", "::chutegrade_limits::pb");
    config.compile_fds(files)?;
    Ok(())
}
