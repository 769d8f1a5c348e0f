//! Benchmarks real nodes with stand-in upstreams under load and faults; prints a table and writes a result file.

use daisysill_testkit::{measure_config::MeasureConfig, measure_report, measure_run};
use eyre::WrapErr;

fn main() -> eyre::Result<()> {
    let Some(config) = MeasureConfig::parse(std::env::args().skip(1))? else { return Ok(()) };
    let results = actix_rt::System::new().block_on(async {
        let mut results = Vec::new();
        for policy in &config.policies {
            if let Some(error) = measure_run::settings_error(&config, policy)? {
                eprintln!("policy {policy} skipped, daisysilld rejects its settings: {}", error.trim());
                continue;
            }
            let run = measure_run::measure(&config, policy).await?;
            results.push(measure_report::report(&config, policy, &run)?);
        }
        Ok::<_, eyre::Report>(results)
    })?;
    measure_report::print_table(&results);
    let text = serde_json::to_string_pretty(&results)?;
    std::fs::write(&config.output, text).wrap_err("cannot write the result file")?;
    println!("results written to {}", config.output.display());
    Ok(())
}
