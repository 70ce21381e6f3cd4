//! Hosts chutegrade's instances on standard input and output; see the library for the parts.

use std::io::{self, BufRead, BufWriter, Write};

/// The limits of the operators' file that `--operator FILE` names; without it there are none.
fn limits() -> io::Result<Option<chutegrade_limits::pb::Limits>> {
    let mut arguments = std::env::args_os().skip(1);
    match (arguments.next(), arguments.next()) {
        (None, _) => Ok(None),
        (Some(word), Some(path)) if word == "--operator" => {
            let operator = chutegrade_operator_config::load(path.as_ref()).map_err(|faults| {
                let said: Vec<String> = faults.iter().map(ToString::to_string).collect();
                io::Error::other(said.join("; "))
            })?;
            Ok(operator.limits.map(|limits| limits.declaration().clone()))
        }
        _ => Err(io::Error::other("give nothing, or --operator FILE")),
    }
}

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = chutegrade_adapter::host::Host::limited(limits()?);
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
