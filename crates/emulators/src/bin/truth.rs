//! Runs the small emulated fleet on loopback with the program, and prints how many metrics lie within the prediction
//! intervals of the model.

use std::path::PathBuf;
use std::process::ExitCode;

use chutegrade_emulators::predict::{compare, comparison_cases, measure, predict};
use clap::Parser;

/// Compares the fleet model with the program on loopback, in twelve cases of 20 seconds.
#[derive(Parser)]
struct Arguments {
    /// Path of the chutegrade executable.
    #[arg(long, value_name = "FILE", default_value = "target/release/chutegrade")]
    program: PathBuf,
    /// Number of concurrent cases; each uses about half a core.
    #[arg(long, default_value_t = 2)]
    together: usize,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 11)]
    seed: u64,
}

async fn run_comparison(arguments: Arguments) -> Result<(), String> {
    if !arguments.program.exists() {
        return Err(format!(
            "{} does not exist: build it with `make build`",
            arguments.program.display()
        ));
    }
    let (mut metrics, mut metrics_within, mut cases_within) = (0, 0, 0);
    let cases = comparison_cases();
    for batch in cases.chunks(arguments.together.max(1)) {
        let mut tasks = Vec::new();
        for case in batch {
            let (case, program) = (case.clone(), arguments.program.clone());
            let seed = arguments.seed;
            tasks.push(tokio::spawn(async move {
                let directory = tempfile::tempdir().map_err(|error| error.to_string())?;
                Ok::<_, String>(measure(&case, &program, directory.path(), seed).await)
            }));
        }
        for (case, task) in batch.iter().zip(tasks) {
            let measured = task.await.map_err(|error| error.to_string())??;
            let compared = compare(&predict(case)?, &measured);
            println!("{}", case.name);
            for row in &compared {
                let mark = if row.is_within_interval() {
                    ""
                } else {
                    "  outside"
                };
                println!(
                    "  {:15} predicted {:8.3} ± {:7.3}  measured {:8.3}{mark}",
                    row.name, row.predicted, row.half_width, row.measured
                );
            }
            let within = compared
                .iter()
                .filter(|row| row.is_within_interval())
                .count();
            (metrics, metrics_within) = (metrics + compared.len(), metrics_within + within);
            cases_within += usize::from(within == compared.len());
        }
    }
    println!(
        "{metrics_within} of {metrics} metrics lie within their prediction intervals; in {cases_within} of {} cases all do",
        cases.len()
    );
    Ok(())
}

#[tokio::main]
async fn main() -> ExitCode {
    match run_comparison(Arguments::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("truth: {error}");
            ExitCode::FAILURE
        }
    }
}
