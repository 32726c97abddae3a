//! Durations and dates of XML Schema part 2, as MPDs contain them.

/// A duration in XML (XML Schema part 2, 3.2.6).
pub(super) fn format_duration(ms: u64) -> String {
    format!("PT{}S", ms as f64 / 1000.0)
}

/// Days from 1970-01-01 to 1 March of a year. Dates are computed in years that begin on 1 March, so that the leap day
/// comes last. There are 719 468 days from 0000-03-01 to 1970-01-01.
fn days_to_march(year: i64) -> i64 {
    365 * year + year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400) - 719_468
}

/// A date and time in UTC (XML Schema part 2, 3.2.7), from ms since 1970.
pub fn format_date(ms: u64) -> String {
    let (days, rest) = ((ms / 86_400_000) as i64, ms % 86_400_000);
    let mut year = 1970 + days / 365;
    while days_to_march(year) > days {
        year -= 1;
    }
    // From March on, the lengths of months repeat: 31, 30, 31, 30, 31 days, 153 in all.
    let day_of_year = days - days_to_march(year);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let (month, year) = if month < 10 { (month + 3, year) } else { (month - 9, year + 1) };
    let (s, ms) = (rest / 1000, rest % 1000);
    format!("{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{ms:03}Z", s / 3600, s / 60 % 60, s % 60)
}

/// Parses `PnDTnHnMn.nS` to ms; years and months have no fixed length and are rejected. The order of the units is not
/// checked.
pub(super) fn parse_duration(text: &str) -> Option<u64> {
    let (mut ms, mut number, mut in_time) = (0f64, String::new(), false);
    for c in text.strip_prefix('P')?.chars() {
        let unit = match c {
            'T' if !in_time && number.is_empty() => {
                in_time = true;
                continue;
            }
            '0'..='9' | '.' => {
                number.push(c);
                continue;
            }
            'D' if !in_time => 86_400_000.0,
            'H' if in_time => 3_600_000.0,
            'M' if in_time => 60_000.0,
            'S' if in_time => 1000.0,
            _ => return None,
        };
        ms += number.parse::<f64>().ok()? * unit;
        number.clear();
    }
    let is_complete = number.is_empty() && text.ends_with(['D', 'H', 'M', 'S']);
    (is_complete && ms <= 1e15).then(|| ms.round() as u64)
}

/// Parses `YYYY-MM-DDThh:mm:ss[.fff][Z]`, in UTC, to ms since 1970. A day beyond the end of its month, up to 31, counts on
/// into the next month.
pub(super) fn parse_date(text: &str) -> Option<u64> {
    let (day, time) = text.strip_suffix('Z').unwrap_or(text).split_once('T')?;
    let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit()).then(|| s.parse::<i64>().ok())?;
    let [year, month, day]: [i64; 3] =
        day.split('-').map(digits).collect::<Option<Vec<_>>>()?.try_into().ok()?;
    let (time_of_day, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let [hour, minute, second]: [i64; 3] =
        time_of_day.split(':').map(digits).collect::<Option<Vec<_>>>()?.try_into().ok()?;
    let is_valid = (1970..=9999).contains(&year)
        && (1..=12).contains(&month)
        && (1..=31).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60
        && fraction.len() <= 9;
    digits(fraction).filter(|_| is_valid)?;
    let (march_year, from_march) = if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let days = days_to_march(march_year) + (153 * from_march + 2) / 5 + day - 1;
    let ms = (format!("0.{fraction}").parse::<f64>().ok()? * 1000.0).round() as i64;
    u64::try_from(((days * 24 + hour) * 60 + minute) * 60_000 + second * 1000 + ms).ok()
}
