//! Compiles the protobuf schema of scenarios, and writes its descriptor set for the parser of the text format.

use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=../../proto/model.proto");
    let files = protox::compile(["model.proto"], ["../../proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("model.bin"), files.encode_to_vec())?;
    let mut config = prost_build::Config::new();
    config.compile_fds(files)?;
    Ok(())
}
