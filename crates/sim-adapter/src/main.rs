//! Plays pulleystair's decisions on the bench's wire: frames come in on standard input, replies go out on
//! standard output.

mod frame;
mod host;

use std::io::{self, BufReader, BufWriter, Read, Write};
use std::process::ExitCode;

/// Reads one frame's body; none at a clean end of input.
fn read_frame(input: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut head = Vec::with_capacity(4);
    input.by_ref().take(4).read_to_end(&mut head)?;
    if head.is_empty() {
        return Ok(None);
    }
    let short = |what: String| io::Error::new(io::ErrorKind::UnexpectedEof, what);
    let Ok(head) = <[u8; 4]>::try_from(head.as_slice()) else {
        return Err(short(format!("input ends after {} of the 4 bytes of a frame's length", head.len())));
    };
    let size = u32::from_le_bytes(head);
    let mut body = Vec::new();
    input.by_ref().take(size.into()).read_to_end(&mut body)?;
    if body.len() < size as usize {
        return Err(short(format!("input ends after {} of a frame's {size} bytes", body.len())));
    }
    Ok(Some(body))
}

fn run() -> io::Result<()> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    let mut house = host::House::default();
    while let Some(body) = read_frame(&mut input)? {
        let reply = house.batch(&body).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
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
