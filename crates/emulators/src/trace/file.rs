//! Reading, validation and writing of trace files.

use std::io::{self, BufRead, Read, Write};

use super::record::{FORMAT, TraceHeader, TraceRecord, TraceRequest, VERSION};

/// Maximum length of a line, in bytes. A record with [`MAX_SEGMENTS`] segments has under 2 KiB.
pub const MAX_LINE_BYTES: u64 = 16 << 10;

/// Maximum number of records: an hour at the peak rate of the largest planned deployment.
pub const MAX_RECORDS: u64 = 13_000_000;

/// Maximum number of segments in a prompt.
pub const MAX_SEGMENTS: usize = 32;

/// Maximum length of a prompt, in tokens.
pub const MAX_PROMPT_TOKENS: u32 = 131_072;

/// Minimum length of a segment, in tokens, including two for its message frame.
pub const MIN_SEGMENT_TOKENS: u32 = 3;

/// Maximum number of output tokens of a request.
pub const MAX_OUTPUT_TOKENS: u32 = 32_768;

/// Maximum body of an at-most-once request, in bytes.
pub const MAX_BODY_BYTES: u32 = 1 << 20;

/// Maximum number of records to preallocate memory for before they are read.
const PREALLOCATED_RECORDS: u64 = 10_000;

/// Request trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Header of the trace.
    pub header: TraceHeader,
    /// Requests in order of arrival.
    pub records: Vec<TraceRecord>,
}

/// Validation error of one line of a trace file.
#[derive(Debug, thiserror::Error)]
pub enum TraceLineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line has more than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line is not the expected JSON.
    #[error("the line can't be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The header names another format.
    #[error("the format is {0:?}, not {FORMAT:?}")]
    Format(String),
    /// The header names an unsupported version.
    #[error("the version is {0}, this build reads {VERSION}")]
    Version(u32),
    /// The load is not a positive number.
    #[error("the load {0} is not a positive number")]
    Load(f64),
    /// The header announces more than [`MAX_RECORDS`] records.
    #[error("{0} records are more than {MAX_RECORDS}")]
    TooManyRecords(u64),
    /// A record arrives before the previous one.
    #[error("the record arrives before the one above it")]
    Order,
    /// A record arrives after the end of the trace.
    #[error("the record arrives after the end of the trace")]
    AfterEnd,
    /// A record names a zone that is not in the header.
    #[error("zone {0} is not in the header")]
    Zone(String),
    /// A record names a tenant that is not in the header.
    #[error("tenant {0} is not in the header")]
    Tenant(String),
    /// A prompt has no segments or too many.
    #[error("a prompt has 1 to {MAX_SEGMENTS} segments, this one has {0}")]
    Segments(usize),
    /// A segment is too short.
    #[error("a segment has at least {MIN_SEGMENT_TOKENS} tokens, this one has {0}")]
    SegmentTokens(u32),
    /// A prompt is too long.
    #[error("a prompt has at most {MAX_PROMPT_TOKENS} tokens, this one has {0}")]
    PromptTokens(u32),
    /// The number of output tokens is out of range.
    #[error("an answer has 1 to {MAX_OUTPUT_TOKENS} tokens, this one has {0}")]
    OutputTokens(u32),
    /// The priority is out of range.
    #[error("a priority is 0 to 9, this one is {0}")]
    Priority(u8),
    /// The body is too large.
    #[error("a body has at most {MAX_BODY_BYTES} bytes, this one has {0}")]
    BodyBytes(u32),
    /// The number of records differs from the header.
    #[error("the header announces {announced} records, the file has {found}")]
    Count {
        /// Number of records that the header announces.
        announced: u64,
        /// Number of records in the file.
        found: u64,
    },
    /// The file has no header.
    #[error("the file is empty")]
    Empty,
}

/// Error of reading or writing a trace.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// I/O error.
    #[error("the trace can't be read or written")]
    Io(#[from] io::Error),
    /// A line is invalid.
    #[error("line {line}: {error}")]
    Line {
        /// Line number, from one.
        line: u64,
        /// Validation error of the line.
        error: TraceLineError,
    },
}

/// Reads and validates a whole trace. Memory use is bounded by the size of the file.
///
/// # Errors
/// Fails at the first invalid line, or when reading fails.
pub fn read_trace<R: BufRead>(source: R) -> Result<Trace, TraceError> {
    let mut lines = Lines { source, line: 0, buffer: Vec::new() };
    let Some(first) = lines.next_line()? else {
        return Err(TraceError::Line { line: 1, error: TraceLineError::Empty });
    };
    let header = read_header(first).map_err(|error| TraceError::Line { line: 1, error })?;
    let mut records = Vec::with_capacity(header.records.min(PREALLOCATED_RECORDS) as usize);
    let mut earliest = 0;
    while let Some(text) = lines.next_line()? {
        let record =
            read_record(text, &header, earliest).map_err(|error| lines.line_error(error))?;
        earliest = record.at_us;
        records.push(record);
        if records.len() as u64 > header.records {
            return Err(lines.line_error(count_mismatch(&header, &records)));
        }
    }
    if records.len() as u64 != header.records {
        return Err(lines.line_error(count_mismatch(&header, &records)));
    }
    Ok(Trace { header, records })
}

fn count_mismatch(header: &TraceHeader, records: &[TraceRecord]) -> TraceLineError {
    TraceLineError::Count { announced: header.records, found: records.len() as u64 }
}

/// Reader of numbered lines of limited length.
struct Lines<R> {
    source: R,
    line: u64,
    buffer: Vec<u8>,
}

impl<R: BufRead> Lines<R> {
    fn next_line(&mut self) -> Result<Option<&[u8]>, TraceError> {
        self.buffer.clear();
        self.line += 1;
        let mut limited = self.source.by_ref().take(MAX_LINE_BYTES + 1);
        let read = limited.read_until(b'\n', &mut self.buffer)?;
        if read as u64 > MAX_LINE_BYTES {
            return Err(self.line_error(TraceLineError::LineTooLong));
        }
        Ok((read > 0).then_some(self.buffer.as_slice()))
    }

    fn line_error(&self, error: TraceLineError) -> TraceError {
        TraceError::Line { line: self.line, error }
    }
}

fn read_header(text: &[u8]) -> Result<TraceHeader, TraceLineError> {
    let header: TraceHeader = serde_json::from_slice(text)?;
    if header.format != FORMAT {
        return Err(TraceLineError::Format(header.format));
    }
    if header.version != VERSION {
        return Err(TraceLineError::Version(header.version));
    }
    if !header.load.is_finite() || header.load <= 0.0 {
        return Err(TraceLineError::Load(header.load));
    }
    if header.records > MAX_RECORDS {
        return Err(TraceLineError::TooManyRecords(header.records));
    }
    Ok(header)
}

fn read_record(
    text: &[u8],
    header: &TraceHeader,
    earliest: u64,
) -> Result<TraceRecord, TraceLineError> {
    let record: TraceRecord = serde_json::from_slice(text)?;
    if record.at_us < earliest {
        return Err(TraceLineError::Order);
    }
    if record.at_us > header.duration_ms.saturating_mul(1_000) {
        return Err(TraceLineError::AfterEnd);
    }
    if !header.zones.contains(&record.zone) {
        return Err(TraceLineError::Zone(record.zone.to_string()));
    }
    if !header.tenants.contains(&record.tenant) {
        return Err(TraceLineError::Tenant(record.tenant.to_string()));
    }
    check_request(&record.request)?;
    Ok(record)
}

fn check_request(request: &TraceRequest) -> Result<(), TraceLineError> {
    match request {
        TraceRequest::Chat { prompt, output_tokens, priority } => {
            if prompt.is_empty() || prompt.len() > MAX_SEGMENTS {
                return Err(TraceLineError::Segments(prompt.len()));
            }
            if let Some(short) = prompt.iter().find(|part| part.tokens < MIN_SEGMENT_TOKENS) {
                return Err(TraceLineError::SegmentTokens(short.tokens));
            }
            let tokens = request.prompt_tokens();
            if tokens > MAX_PROMPT_TOKENS {
                return Err(TraceLineError::PromptTokens(tokens));
            }
            if !(1..=MAX_OUTPUT_TOKENS).contains(output_tokens) {
                return Err(TraceLineError::OutputTokens(*output_tokens));
            }
            if *priority > 9 {
                return Err(TraceLineError::Priority(*priority));
            }
            Ok(())
        }
        TraceRequest::AtMostOnce { body_bytes, .. } if *body_bytes > MAX_BODY_BYTES => {
            Err(TraceLineError::BodyBytes(*body_bytes))
        }
        TraceRequest::AtMostOnce { .. }
        | TraceRequest::Listing { .. }
        | TraceRequest::Preview { .. } => Ok(()),
    }
}

/// Writes `trace` as JSON lines.
///
/// # Errors
/// Fails when writing fails.
pub fn write_trace<W: Write>(trace: &Trace, mut target: W) -> Result<(), TraceError> {
    write_line(&trace.header, 1, &mut target)?;
    for (line, record) in (2..).zip(&trace.records) {
        write_line(record, line, &mut target)?;
    }
    target.flush()?;
    Ok(())
}

fn write_line<T: serde::Serialize, W: Write>(
    value: &T,
    line: u64,
    target: &mut W,
) -> Result<(), TraceError> {
    let mut text = serde_json::to_vec(value)
        .map_err(|error| TraceError::Line { line, error: TraceLineError::Json(error) })?;
    text.push(b'\n');
    target.write_all(&text)?;
    Ok(())
}
