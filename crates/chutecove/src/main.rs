//! The product binary; everything is in the library beside it.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    chutecove::run_cli(&arguments)
}
