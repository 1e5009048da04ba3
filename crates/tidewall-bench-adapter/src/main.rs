//! The program `tidewall-drill`: runs the schedulers of many gateways on the simulator's wire, on standard input and
//! output. It decides nothing: it decodes events, hands them to the scheduler of their gateway, and writes what that
//! calls for.
//!
//! Exit codes: 0 at the end of the input; 2 where a line cannot be meant or input or output fails, with one line on
//! standard error.
mod error;
mod gateways;
mod host;
mod names;
mod session;
mod wire;

use session::Session;

fn main() {
    // A panic of a scheduler is declared on the wire; here it is shown once, without a backtrace.
    std::panic::set_hook(Box::new(|info| eprintln!("{info}")));
    let session = Session::new(std::io::stdin().lock(), std::io::stdout().lock());
    if let Err(error) = session.run() {
        eprintln!("{error}");
        std::process::exit(2);
    }
}
