//! The node as a program.

use std::process::ExitCode;

use log::error;
use sillflow::config::Config;
use sillflow::node;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            error!("sillflow cannot run: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::from_env()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(node::run(config)))?;
    Ok(())
}
