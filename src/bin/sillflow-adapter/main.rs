//! Simulator adapter: runs many independent controllers behind the simulator's wire format on standard
//! input and output.

mod codec;
mod host;

use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    while let Some(batch) = codec::read_batch(&mut input)? {
        let seq = batch.seq;
        let frame = host.handle(batch)?.frame(seq);
        let written = output.write_all(&frame).and_then(|()| output.flush());
        written.map_err(|e| format!("the output cannot be written: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("sillflow-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
