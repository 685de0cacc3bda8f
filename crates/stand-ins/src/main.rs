//! Runs one of the fakes as a process of its own.

use clap::{value_parser, Arg, ArgAction, ArgMatches, Command};
use skylarkshed_stand_ins::{run_application, run_engine, run_platform, run_proxy, EngineConfig};
use std::net::SocketAddr;
use std::time::Duration;

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let matches = make_command().get_matches();
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let listen = *matches
        .get_one::<SocketAddr>("listen")
        .expect("has a default");
    match name {
        "platform" => run_platform(listen).await,
        "application" => run_application(listen).await,
        "proxy" => {
            let target = *matches
                .get_one::<SocketAddr>("target")
                .expect("is required");
            run_proxy(listen, target).await
        }
        _ => {
            let version = matches
                .get_one::<String>("model-version")
                .expect("has a default");
            let checks_fencing = !matches.get_flag("ignore-fencing");
            run_engine(
                listen,
                version.clone(),
                engine_config(matches),
                checks_fencing,
            )
            .await
        }
    }
}

fn make_command() -> Command {
    let listen = Arg::new("listen")
        .long("listen")
        .value_parser(value_parser!(SocketAddr))
        .default_value("127.0.0.1:0");
    let target = Arg::new("target")
        .long("target")
        .value_parser(value_parser!(SocketAddr))
        .required(true);
    let number_arg = |name: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("skylarkshed-stand-ins")
        .about("Small fakes of the systems around skylarkshed")
        .subcommand_required(true)
        .subcommand(Command::new("platform").arg(listen.clone()))
        .subcommand(Command::new("application").arg(listen.clone()))
        .subcommand(Command::new("proxy").arg(listen.clone()).arg(target))
        .subcommand(
            Command::new("engine")
                .arg(listen)
                .arg(
                    Arg::new("model-version")
                        .long("model-version")
                        .default_value("v1"),
                )
                .arg(
                    Arg::new("ignore-fencing")
                        .long("ignore-fencing")
                        .action(ArgAction::SetTrue),
                )
                .arg(number_arg("step-us", "10000"))
                .arg(number_arg("per-generation-us", "50"))
                .arg(number_arg("prefill-us", "100"))
                .arg(number_arg("batch", "64"))
                .arg(number_arg("cache-blocks", "4096"))
                .arg(number_arg("hold-ms", "5000")),
        )
}

fn engine_config(matches: &ArgMatches) -> EngineConfig {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    EngineConfig {
        step_us: number("step-us"),
        per_generation_us: number("per-generation-us"),
        prefill_us: number("prefill-us"),
        max_batch: number("batch") as usize,
        cache_blocks: number("cache-blocks") as usize,
        retention: Duration::from_millis(number("hold-ms")),
    }
}
