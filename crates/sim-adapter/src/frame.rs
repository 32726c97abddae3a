//! The binary form of the wire: fields read from a record, records written to a reply.

/// The fields of one record, read in succession.
pub struct Fields<'a> {
    name: &'static str,
    /// Where the record starts in the frame's body.
    at: usize,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    pub fn new(name: &'static str, at: usize, rest: &'a [u8]) -> Self {
        Fields { name, at, rest }
    }

    pub fn fault(&self, what: &str) -> String {
        format!("{} at byte {} of the batch: {what}", self.name, self.at)
    }

    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        let Some((taken, rest)) = self.rest.split_at_checked(n) else {
            return Err(self.fault(&format!("wants {n} more bytes where {} are left", self.rest.len())));
        };
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        Ok(self.bytes(N)?.try_into().expect("as many bytes as asked for"))
    }

    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f64, String> {
        Ok(f32::from_le_bytes(self.array()?).into())
    }

    /// A time on the wire, in ms.
    pub fn ms(&mut self) -> Result<f64, String> {
        Ok(f64::from(self.u32()?) / 1000.0)
    }

    /// A counted row of numbers, as load reports are.
    pub fn numbers(&mut self) -> Result<Vec<f64>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
}

/// Splits a frame's body into records: code, start, fields.
pub fn records(body: &[u8]) -> impl Iterator<Item = Result<(u8, usize, &[u8]), String>> {
    let mut at = 0;
    std::iter::from_fn(move || {
        let rest = body.get(at..).filter(|r| !r.is_empty())?;
        let start = at;
        at = body.len();
        let Some((head, after)) = rest.split_at_checked(5) else {
            return Some(Err(format!("a record at byte {start} of the batch ends within its head")));
        };
        let size = u32::from_le_bytes([head[1], head[2], head[3], head[4]]) as usize;
        let Some(fields) = after.get(..size) else {
            let left = after.len();
            return Some(Err(format!(
                "a record at byte {start} of the batch claims {size} bytes, {left} are left"
            )));
        };
        at = start + 5 + size;
        Some(Ok((head[0], start, fields)))
    })
}

/// A reply under way.
#[derive(Default)]
pub struct Reply(pub Vec<u8>);

impl Reply {
    pub fn record(&mut self, code: u8, who: u32, fields: &[&[u8]]) {
        let size: usize = 4 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.0.push(code);
        self.0.extend_from_slice(&(size as u32).to_le_bytes());
        self.0.extend_from_slice(&who.to_le_bytes());
        fields.iter().for_each(|f| self.0.extend_from_slice(f));
    }
}

/// A span in ms as the wire has it.
pub fn us(ms: f64) -> [u8; 4] {
    ((ms * 1000.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32).to_le_bytes()
}
