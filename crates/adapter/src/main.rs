//! Hosts chutegrade's instances on standard input and output; see the library for the parts.

use std::io::{self, BufRead, BufWriter, Write};

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = chutegrade_adapter::host::Host::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if input.read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        match host.line(String::from_utf8_lossy(&line).trim_end_matches(['\n', '\r'])) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            Err(fault) => eprintln!("chutegrade-adapter: line dropped: {fault}"),
        }
    }
}
