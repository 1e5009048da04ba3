//! `tidewall`: the command line. Exit codes: 0 for success, 1 if a rule was broken or a run failed, 2 for
//! invalid input.
mod coordination;
mod day;
mod from;
mod incarnations;
mod log_output;
mod own_ports;
mod platform;
mod send;
mod serve;
mod sim;
mod status;
mod virtual_time;

use clap::{Args, Parser, Subcommand};
use log_output::Blocking;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tidewall_config::Section;
use virtual_time::VirtualTime;

#[derive(Parser)]
#[command(
    version,
    about = "A gateway that runs events on workers which load their programs on demand"
)]
struct Cli {
    #[command(flatten)]
    log_options: LogOptions,
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct LogOptions {
    /// Logs as JSON lines instead of text.
    #[arg(long, global = true)]
    log_json: bool,
    /// What is logged: error, warn, info, debug or trace, or a filter such as tidewall_gateway=debug.
    #[arg(long, global = true, default_value = "info", value_name = "LEVEL")]
    log: String,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one gateway until it is told to stop (SIGTERM: what is held gets its answers first).
    Serve(serve::Serve),
    /// Runs one gateway on the platform, as the file that ROUTER_CONFIG names tells it.
    Platform,
    /// Checks settings and says nothing where they are good.
    Check {
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Runs the settings' whole stand-in fleet on loopback: workers, depot and roster, and clients if wanted.
    Standins(serve::Standins),
    /// Sends one event and prints its answer.
    Send(send::Send),
    /// Reads a password from standard input and prints the hash that the settings of AMQP users hold.
    HashPassword,
    /// Plays a bad day: gateways as processes, stand-ins, faults; then checks the five rules from what went
    /// over the sockets.
    Day(day::Day),
    /// How both members of a pair stand.
    Status(status::Status),
    /// Plays a pair of gateways on a virtual clock, one run for each seed, with drawn faults; checks the five
    /// rules.
    Sim(sim::Sim),
}

/// Why a command failed.
pub enum Failure {
    /// A rule was broken, or the run failed.
    Run(String),
    /// The input is invalid.
    Input(String),
}

fn input(text: impl Into<String>) -> Failure {
    let text = text.into();
    Failure::Input(text)
}

/// Reads and checks settings.
pub fn settings(path: &Path) -> Result<(String, Section), Failure> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| input(format!("{file}: {e}")))?;
    let settings = tidewall_config::settings(&file, &text).map_err(input)?;
    Ok((text, settings))
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    // After a panic the process must not continue with an inconsistent state, nor exit without the panic's
    // text.
    std::panic::set_hook(Box::new(|info| {
        let text = info.to_string().replace('\n', " ");
        log_output::write_last_line(&format!("panic: {text}"));
        std::process::exit(1);
    }));
    let filter = match tracing_subscriber::EnvFilter::try_new(&cli.log_options.log) {
        Ok(filter) => filter,
        Err(e) => {
            log_output::write_last_line(&format!("--log: {e}"));
            return ExitCode::from(2);
        }
    };
    let ansi = std::io::stderr().is_terminal();
    // A gateway goes on whatever happens to its log. Other commands write every line.
    let blocking = match cli.command {
        Command::Serve(_) | Command::Platform => Blocking::Never,
        _ => Blocking::Allowed,
    };
    let (writer, guard) = log_output::open(blocking, cli.log_options.log_json);
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .log_internal_errors(false)
        .with_ansi(ansi);
    let virtual_time = matches!(cli.command, Command::Sim(_));
    match (cli.log_options.log_json, virtual_time) {
        (true, true) => subscriber
            .with_timer(VirtualTime)
            .json()
            .flatten_event(true)
            .init(),
        (true, false) => subscriber.json().flatten_event(true).init(),
        (false, true) => subscriber.with_timer(VirtualTime).init(),
        (false, false) => subscriber.init(),
    }
    let result = match cli.command {
        Command::Serve(args) => serve::serve(&args),
        Command::Platform => platform::platform(),
        Command::Check { config } => settings(&config).map(|_| ()),
        Command::Standins(args) => serve::standins(&args),
        Command::Send(args) => send::send(&args),
        Command::HashPassword => serve::hash_password(),
        Command::Day(args) => day::day(&args),
        Command::Status(args) => status::status(&args),
        Command::Sim(args) => sim::sim(&args),
    };
    // The lines that wait come before the last one.
    drop(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Run(text)) => {
            log_output::write_last_line(&text);
            ExitCode::from(1)
        }
        Err(Failure::Input(text)) => {
            log_output::write_last_line(&text);
            ExitCode::from(2)
        }
    }
}
