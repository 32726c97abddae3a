//! Connects pulleystair's placement logic to the simulator: reads frames from standard input and writes a reply to each to
//! standard output. A frame is a length (u32, little-endian) and a body; the body of a frame from the simulator is a batch of
//! events.

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Reads one frame's body; returns none if the input ends between frames.
fn read_frame(input: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut header = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut header)?;
    if header.is_empty() {
        return Ok(None);
    }
    let truncated = |cause: String| io::Error::new(io::ErrorKind::UnexpectedEof, cause);
    let Ok(length) = <[u8; 4]>::try_from(header.as_slice()) else {
        return Err(truncated(format!(
            "input ends after {} of the 4 bytes of a frame's length",
            header.len()
        )));
    };
    let size = u32::from_le_bytes(length);
    let mut body = Vec::new();
    input.by_ref().take(size.into()).read_to_end(&mut body)?;
    if body.len() < size as usize {
        return Err(truncated(format!("input ends after {} of a frame's {size} bytes", body.len())));
    }
    Ok(Some(body))
}

/// Answers all frames until the input ends.
fn run() -> io::Result<()> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut instances = host::Instances::default();
    while let Some(body) = read_frame(&mut input)? {
        let reply = instances.run_batch(&body).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        output.write_all(&(reply.len() as u32).to_le_bytes())?;
        output.write_all(&reply)?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("pulleystair-drill: {e}");
            ExitCode::FAILURE
        }
    }
}
