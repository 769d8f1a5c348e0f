//! Shows where a request would go now and why, without sending it.

use daisysill_wire::http_types::{WhereCandidate, WhereOutcome, WhereReply, WhereRequest};

use crate::{
    client::{self, RequestError},
    exit_code::ExitCode,
    options::Options,
    report::print_json,
};

const US_PER_MS: f64 = 1_000.0;
const HEADINGS: [&str; 14] = [
    "",
    "upstream",
    "zone",
    "cost ms",
    "estimate ms",
    "wait ms",
    "prefill ms",
    "fetch ms",
    "zone penalty ms",
    "compute penalty ms",
    "cached tokens",
    "computed tokens",
    "tokens/s",
    "report age ms",
];

/// Prints the choice and its candidates; fails if the request would be refused.
pub(crate) async fn run(options: &Options, request: &WhereRequest) -> Result<ExitCode, RequestError> {
    let reply: WhereReply = client::post(options, "/admin/v1/where", request).await?;
    if !print_json(options, &reply) {
        print(&reply);
    }
    Ok(if reply.outcome == WhereOutcome::Refused { ExitCode::Failure } else { ExitCode::Success })
}

fn print(reply: &WhereReply) {
    let upstream = reply.upstream.as_deref().unwrap_or("none");
    match reply.outcome {
        WhereOutcome::Sent => println!("would be sent to {upstream}: {}", reply.reason),
        WhereOutcome::Queued => println!("would wait, and then be sent to {upstream}: {}", reply.reason),
        WhereOutcome::Refused => println!("would be refused ({}): {}", reply.result_code, reply.reason),
    }
    if let Some(decision) = &reply.decision {
        println!("choice: {decision}");
    }
    for warning in &reply.warnings {
        println!("uncertain: {warning}");
    }
    if !reply.candidates.is_empty() {
        print_table(reply);
    }
    for excluded in &reply.excluded {
        println!(
            "no candidate: {} in {}: {}",
            excluded.upstream, excluded.availability_zone, excluded.reason
        );
    }
}

fn print_table(reply: &WhereReply) {
    let mut rows = vec![HEADINGS.map(str::to_owned)];
    rows.extend(reply.candidates.iter().map(|candidate| row(candidate, reply.upstream.as_deref())));
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..HEADINGS.len()).map(width).collect();
    for row in &rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, &width)| format!("{cell:>width$}")).collect();
        println!("{}", cells.join("  "));
    }
}

/// Returns the cells of a candidate: `>` marks the chosen one, `=` those that a random draw could choose as well.
fn row(candidate: &WhereCandidate, chosen: Option<&str>) -> [String; HEADINGS.len()] {
    let mark = match () {
        () if Some(candidate.upstream.as_str()) == chosen => ">",
        () if candidate.near_equal => "=",
        () => "",
    };
    let store = candidate.store.as_ref();
    let fetch = store.map_or("-".to_owned(), |store| {
        format!("{} ({} pieces of {store})", ms(candidate.fetch_us), candidate.fetched_pieces)
    });
    [
        mark.to_owned(),
        candidate.upstream.clone(),
        candidate.availability_zone.clone(),
        ms(candidate.cost_us),
        ms(candidate.estimate_us),
        ms(candidate.wait_us),
        ms(candidate.prefill_us),
        fetch,
        ms(candidate.zone_penalty_us),
        ms(candidate.compute_penalty_us),
        candidate.cached_tokens.to_string(),
        candidate.computed_tokens.to_string(),
        candidate.prefill_tokens_per_s.to_string(),
        candidate.load_report_age_ms.map_or("-".to_owned(), |age_ms| age_ms.to_string()),
    ]
}

fn ms(us: u64) -> String {
    format!("{:.1}", us as f64 / US_PER_MS)
}
