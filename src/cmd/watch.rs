//! `watch`: prints events of traffic moves.

use super::operator::{print, run, with_operator_args};
use crate::exit::CommandResult;
use clap::{value_parser, Arg, ArgMatches, Command};
use serde::Serialize;
use skylarkshed_operator::schema::{News, WatchRequest};

#[derive(Serialize)]
struct EventLine {
    position: u64,
    service: String,
    to_version: String,
    event: String,
    detail: String,
}

/// Returns the command line definition of `watch`.
pub(crate) fn make_subcommand() -> Command {
    let number_arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    let command = Command::new("watch")
        .about("Prints the events of moves after a position, one per line")
        .arg(number_arg(
            "after",
            "0",
            "The position of the last event seen",
        ))
        .arg(number_arg(
            "wait-ms",
            "30000",
            "How long to wait for events, in milliseconds",
        ));
    with_operator_args(command)
}

/// Waits for events once and prints them.
pub(crate) fn execute(matches: &ArgMatches) -> CommandResult {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let request = WatchRequest {
        after: number("after"),
        wait_ms: number("wait-ms"),
    };
    let reply = run(matches, |client| async move { client.watch(request).await })?;
    for news in reply.news {
        let line = to_line(news);
        print(matches, &line, || {
            let EventLine {
                position,
                service,
                to_version,
                event,
                detail,
            } = &line;
            format!("{position}: {service} to {to_version}: {event} {detail}")
        });
    }
    Ok(())
}

fn to_line(news: News) -> EventLine {
    EventLine {
        position: news.position,
        service: news.service.to_string(),
        to_version: news.to_version.to_string(),
        event: news.event.to_string(),
        detail: news.detail.to_string(),
    }
}
