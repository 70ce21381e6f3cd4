//! Plays days of the small fleet on loopback with the program, and tells how many figures lie within the model's bars.

use std::path::PathBuf;
use std::process::ExitCode;

use chutegrade_emulators::predict::{compare, days, real, said};
use clap::Parser;

/// Compares the fleet model with the program on loopback: a dozen days of 20 seconds.
#[derive(Parser)]
struct Arguments {
    /// The program.
    #[arg(long, value_name = "FILE", default_value = "target/release/chutegrade")]
    program: PathBuf,
    /// Days at a time; each takes about half a core.
    #[arg(long, default_value_t = 2)]
    together: usize,
    /// For random numbers.
    #[arg(long, default_value_t = 11)]
    seed: u64,
}

async fn play(arguments: Arguments) -> Result<(), String> {
    if !arguments.program.exists() {
        return Err(format!(
            "{} is not there: build it with `make build`",
            arguments.program.display()
        ));
    }
    let (mut rows, mut held, mut whole) = (0, 0, 0);
    let all = days();
    for some in all.chunks(arguments.together.max(1)) {
        let mut tasks = Vec::new();
        for day in some {
            let (day, program) = (day.clone(), arguments.program.clone());
            let seed = arguments.seed;
            tasks.push(tokio::spawn(async move {
                let directory = tempfile::tempdir().map_err(|fault| fault.to_string())?;
                Ok::<_, String>(real(&day, &program, directory.path(), seed).await)
            }));
        }
        for (day, task) in some.iter().zip(tasks) {
            let came = task.await.map_err(|fault| fault.to_string())??;
            let compared = compare(&said(day)?, &came);
            println!("{}", day.name);
            for row in &compared {
                let mark = if row.holds() { "" } else { "  outside" };
                println!(
                    "  {:15} said {:8.3} ± {:7.3}  came {:8.3}{mark}",
                    row.name, row.said, row.half, row.came
                );
            }
            let good = compared.iter().filter(|row| row.holds()).count();
            (rows, held) = (rows + compared.len(), held + good);
            whole += usize::from(good == compared.len());
        }
    }
    println!(
        "{held} of {rows} figures lie within their bars; on {whole} of {} days all do",
        all.len()
    );
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match play(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("truth: {fault}");
            ExitCode::FAILURE
        }
    }
}
