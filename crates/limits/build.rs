//! Compiles `limits.proto`, and writes its descriptors for parsers of the text format.

use std::path::PathBuf;

use prost::Message;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=../../proto/limits.proto");
    let files = protox::compile(["limits.proto"], ["../../proto"])?;
    let out = PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out.join("limits.bin"), files.encode_to_vec())?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
