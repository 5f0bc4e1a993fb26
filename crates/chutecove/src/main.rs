//! The `chutecove` binary; the command line is implemented in the library of this crate.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    chutecove::run_cli(&arguments)
}
