//! Runs instances of the decision module over standard input and output.

use std::io::{self, BufRead, BufWriter, Write};

use chutegrade_adapter::host::Host;
use chutegrade_operator_config::ConfigError;

/// Reads the limits from the operators' file given with `--operator FILE`; `None` without that option.
fn operator_limits() -> io::Result<Option<chutegrade_limits::pb::Limits>> {
    let mut arguments = std::env::args_os().skip(1);
    match (arguments.next(), arguments.next()) {
        (None, _) => Ok(None),
        (Some(option), Some(path)) if option == "--operator" => {
            let operator = chutegrade_operator_config::load(path.as_ref());
            let operator = operator.map_err(|errors| invalid_configuration(&errors))?;
            Ok(operator.limits.map(|limits| limits.declaration().clone()))
        }
        _ => Err(io::Error::other(
            "usage: chutegrade-adapter [--operator FILE]",
        )),
    }
}

fn invalid_configuration(errors: &[ConfigError]) -> io::Error {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    io::Error::other(texts.join("; "))
}

fn main() -> io::Result<()> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::with_limits(operator_limits()?);
    let mut buffer = Vec::new();
    loop {
        buffer.clear();
        if input.read_until(b'\n', &mut buffer)? == 0 {
            return Ok(());
        }
        let line = String::from_utf8_lossy(&buffer);
        match host.handle_line(line.trim_end_matches(['\n', '\r'])) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                output.write_all(reply.as_bytes())?;
                output.flush()?;
            }
            Err(error) => eprintln!("chutegrade-adapter: line dropped: {error}"),
        }
    }
}
