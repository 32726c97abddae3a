//! Merges the reports of several sources on one server into its availability. Times are in ms.

/// State of a server as a source reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Ready,
    Draining,
    Gone,
}

/// A source's report on a server, and what decides whether it counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub state: ReportedState,
    /// Start of the process that the report is about.
    pub process_started_at: f64,
    pub reported_at: f64,
    /// When the source of the report was last heard.
    pub last_heard_at: f64,
    /// Whether the list that held the report was too old when it arrived.
    pub from_old_list: bool,
}

/// Availability of a server to the placement logic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Ready,
    /// Only an old list reports the server ready; it may have restarted since.
    Unconfirmed,
    Draining,
}

/// Merges the reports on one server; none if it is not listed. `any_source_synced` tells whether the list of any source is
/// complete and current. The rules, in this order:
///
/// 1. Only reports on the process that started last count.
/// 2. If any source reports that the server drains, it is never ready: it drains, or is not listed if rule 3 discards every
///    report of a drain.
/// 3. The last report that the server is gone discards the other reports, except those of sources that were heard since.
/// 4. A server that only old lists report ready is listed only while no source is synced. A drain counts from an old list
///    too.
pub fn merge_reports(reports: &[Report], any_source_synced: bool) -> Option<Availability> {
    let newest = reports.iter().map(|r| r.process_started_at).max_by(f64::total_cmp)?;
    let on_newest = |state: ReportedState| {
        reports.iter().filter(move |r| r.process_started_at == newest && r.state == state)
    };
    let gone_at = on_newest(ReportedState::Gone).map(|r| r.reported_at).max_by(f64::total_cmp);
    let is_not_overruled = |r: &&Report| gone_at.is_none_or(|gone_at| r.last_heard_at > gone_at);
    if on_newest(ReportedState::Draining).next().is_some() {
        // Rule 3 may discard every drain. The server is then not listed, even if another source reports it ready.
        return on_newest(ReportedState::Draining)
            .any(|r| is_not_overruled(&r))
            .then_some(Availability::Draining);
    }
    let mut ready = on_newest(ReportedState::Ready).filter(is_not_overruled).peekable();
    ready.peek()?;
    if ready.any(|r| !r.from_old_list) {
        return Some(Availability::Ready);
    }
    (!any_source_synced).then_some(Availability::Unconfirmed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use ReportedState::{Draining, Gone, Ready};
    use test_case::test_case;

    fn report(state: ReportedState, process_started_at: f64, reported_at: f64, last_heard_at: f64) -> Report {
        Report { state, process_started_at, reported_at, last_heard_at, from_old_list: false }
    }

    fn from_old_list(report: Report) -> Report {
        Report { from_old_list: true, ..report }
    }

    #[test_case(&[], true, None; "no source reports it")]
    #[test_case(&[report(Ready, 0.0, 1.0, 1.0)], true, Some(Availability::Ready); "ready")]
    #[test_case(&[report(Draining, 0.0, 1.0, 1.0)], true, Some(Availability::Draining); "draining")]
    #[test_case(&[report(Gone, 0.0, 1.0, 1.0)], true, None; "gone")]
    #[test_case(&[report(Ready, 0.0, 1.0, 9.0), report(Draining, 0.0, 2.0, 2.0)], true, Some(Availability::Draining); "a drain counts from any source")]
    #[test_case(&[report(Draining, 0.0, 1.0, 1.0), report(Ready, 0.0, 2.0, 9.0)], true, Some(Availability::Draining); "a drain counts before a later report of ready")]
    #[test_case(&[report(Ready, 0.0, 1.0, 1.0), report(Gone, 0.0, 2.0, 2.0)], true, None; "gone, and the source that lists it was not heard since")]
    #[test_case(&[report(Ready, 0.0, 1.0, 3.0), report(Gone, 0.0, 2.0, 2.0)], true, Some(Availability::Ready); "gone from one source, and the other lists it and was heard since")]
    #[test_case(&[report(Draining, 0.0, 1.0, 1.0), report(Gone, 0.0, 2.0, 2.0)], true, None; "drained and gone")]
    #[test_case(&[report(Draining, 5.0, 1.0, 1.0), report(Ready, 9.0, 2.0, 2.0)], true, Some(Availability::Ready); "the process that drained is replaced")]
    #[test_case(&[report(Gone, 5.0, 3.0, 3.0), report(Ready, 9.0, 2.0, 2.0)], true, Some(Availability::Ready); "the process that is gone is replaced")]
    #[test_case(&[report(Ready, 5.0, 3.0, 3.0), report(Gone, 9.0, 2.0, 2.0)], true, None; "the newer process is gone")]
    #[test_case(&[from_old_list(report(Ready, 0.0, 1.0, 1.0))], false, Some(Availability::Unconfirmed); "an old list alone")]
    #[test_case(&[from_old_list(report(Ready, 0.0, 1.0, 1.0))], true, None; "an old list beside a synced source")]
    #[test_case(&[from_old_list(report(Ready, 0.0, 1.0, 1.0)), report(Ready, 0.0, 2.0, 2.0)], true, Some(Availability::Ready); "an old list and a new one")]
    #[test_case(&[from_old_list(report(Draining, 0.0, 1.0, 1.0)), report(Ready, 0.0, 2.0, 2.0)], true, Some(Availability::Draining); "a drain counts from an old list")]
    fn reports_merge_to(reports: &[Report], any_source_synced: bool, expected: Option<Availability>) {
        assert_eq!(merge_reports(reports, any_source_synced), expected);
    }
}
