//! The binary protocol between the simulator and this adapter: reads the fields of records, and writes records of a reply.
//! Numbers are little-endian.

/// The fields of one record, read one after another. Reading beyond the record's end is an error that names the place.
pub struct Fields<'a> {
    /// The event's name, for error messages.
    event_name: &'static str,
    /// Where the record starts in the batch, which is the frame's body.
    start: usize,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    pub fn new(event_name: &'static str, start: usize, rest: &'a [u8]) -> Self {
        Fields { event_name, start, rest }
    }

    /// An error message that names the event and its place in the batch.
    pub fn error_at(&self, cause: &str) -> String {
        format!("{} at byte {} of the batch: {cause}", self.event_name, self.start)
    }

    /// Reads this many bytes.
    pub fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], String> {
        let Some((bytes, rest)) = self.rest.split_at_checked(count) else {
            return Err(
                self.error_at(&format!("wants {count} more bytes where {} are left", self.rest.len()))
            );
        };
        self.rest = rest;
        Ok(bytes)
    }

    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        Ok(self.read_bytes(N)?.try_into().expect("read_bytes returns as many bytes as asked for"))
    }

    pub fn read_u8(&mut self) -> Result<u8, String> {
        Ok(self.read_array::<1>()?[0])
    }

    pub fn read_u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_le_bytes(self.read_array()?))
    }

    pub fn read_u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_le_bytes(self.read_array()?))
    }

    pub fn read_u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_le_bytes(self.read_array()?))
    }

    /// Reads an f32 and returns it as f64.
    pub fn read_f32(&mut self) -> Result<f64, String> {
        Ok(f32::from_le_bytes(self.read_array()?).into())
    }

    /// Reads a duration, which the protocol has in µs as u32, and returns it in ms.
    pub fn read_us_as_ms(&mut self) -> Result<f64, String> {
        Ok(f64::from(self.read_u32()?) / 1000.0)
    }

    /// Reads a count (u8) and that many f32 values, as in load reports.
    pub fn read_f32_list(&mut self) -> Result<Vec<f64>, String> {
        let count = self.read_u8()?;
        (0..count).map(|_| self.read_f32()).collect()
    }
}

/// Splits the part of a batch after its timestamp into records: the event's code, where the record starts in this part, and
/// its fields.
pub fn records(body: &[u8]) -> impl Iterator<Item = Result<(u8, usize, &[u8]), String>> {
    let mut position = 0;
    std::iter::from_fn(move || {
        let rest = body.get(position..).filter(|r| !r.is_empty())?;
        let start = position;
        position = body.len();
        let Some((header, after)) = rest.split_at_checked(5) else {
            return Some(Err(format!(
                "a record at byte {start} after the batch's timestamp ends within its header"
            )));
        };
        let size = u32::from_le_bytes([header[1], header[2], header[3], header[4]]) as usize;
        let Some(fields) = after.get(..size) else {
            let left = after.len();
            return Some(Err(format!(
                "a record at byte {start} after the batch's timestamp claims {size} bytes, {left} are left"
            )));
        };
        position = start + 5 + size;
        Some(Ok((header[0], start, fields)))
    })
}

/// The body of a reply under construction.
#[derive(Default)]
pub struct Reply(pub Vec<u8>);

impl Reply {
    /// Appends a record: code, size, instance and fields.
    pub fn record(&mut self, code: u8, instance_id: u32, fields: &[&[u8]]) {
        let size: usize = 4 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.0.push(code);
        self.0.extend_from_slice(&(size as u32).to_le_bytes());
        self.0.extend_from_slice(&instance_id.to_le_bytes());
        fields.iter().for_each(|f| self.0.extend_from_slice(f));
    }
}

/// Encodes a duration in ms as the protocol has it: whole µs as u32, rounded up.
pub fn encode_ms_as_us(ms: f64) -> [u8; 4] {
    ((ms * 1000.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32).to_le_bytes()
}
