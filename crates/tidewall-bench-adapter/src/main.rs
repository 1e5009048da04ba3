//! The program `tidewall-drill`: runs the schedulers of many gateways on the simulator's line
//! protocol, over standard input and output. It makes no decisions: it decodes events, passes each
//! to the scheduler of its gateway, and writes the resulting commands.
//!
//! Exit codes: 0 at the end of the input; 2 if a line is invalid or input or output fails, with a
//! one-line message on standard error.
mod error;
mod gateways;
mod host;
mod names;
mod session;
mod wire;

use session::Session;

fn main() {
    // A scheduler's panic is reported on the line protocol. This hook prints it once on standard
    // error, without a backtrace.
    std::panic::set_hook(Box::new(|info| eprintln!("{info}")));
    let session = Session::new(std::io::stdin().lock(), std::io::stdout().lock());
    if let Err(error) = session.run() {
        eprintln!("{error}");
        std::process::exit(2);
    }
}
