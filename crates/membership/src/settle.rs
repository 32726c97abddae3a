//! What several sources' words on one server come to.

/// A source's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportedState {
    Ready,
    Draining,
    Gone,
}

/// A source's word on a server, and what it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    pub state: ReportedState,
    /// Of which process, by its start.
    pub process_started_at: f64,
    /// When it was said, and when its source was last heard.
    pub reported_at: f64,
    pub last_heard_at: f64,
    /// It stood in a list that was old already.
    pub from_old_list: bool,
}

/// How a server is offered to the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Ready,
    /// Ready by an old list alone: it may have restarted meanwhile.
    Cached,
    Draining,
}

/// Settles it, in this order:
///
/// 1. only words on the process that started last count;
/// 2. who says that it drains is believed;
/// 3. who says that it is gone is believed, unless another source says that it is ready and has been heard since;
/// 4. an old list adds a server only while no source is in step.
pub fn settle_reports(reports: &[Report], in_step: bool) -> Option<Availability> {
    let newest = reports.iter().map(|r| r.process_started_at).max_by(f64::total_cmp)?;
    let on_newest = |state: ReportedState| {
        reports.iter().filter(move |r| r.process_started_at == newest && r.state == state)
    };
    let gone_at = on_newest(ReportedState::Gone).map(|r| r.reported_at).max_by(f64::total_cmp);
    let is_not_overruled = |r: &&Report| gone_at.is_none_or(|gone_at| r.last_heard_at > gone_at);
    if on_newest(ReportedState::Draining).next().is_some() {
        // One that drains and is gone from elsewhere is gone.
        return on_newest(ReportedState::Draining)
            .any(|r| is_not_overruled(&r))
            .then_some(Availability::Draining);
    }
    let mut ready = on_newest(ReportedState::Ready).filter(is_not_overruled).peekable();
    ready.peek()?;
    if ready.any(|r| !r.from_old_list) {
        return Some(Availability::Ready);
    }
    (!in_step).then_some(Availability::Cached)
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

    #[test_case(&[], true, None; "nobody knows it")]
    #[test_case(&[report(Ready, 0.0, 1.0, 1.0)], true, Some(Availability::Ready); "ready")]
    #[test_case(&[report(Draining, 0.0, 1.0, 1.0)], true, Some(Availability::Draining); "drains")]
    #[test_case(&[report(Gone, 0.0, 1.0, 1.0)], true, None; "gone")]
    #[test_case(&[report(Ready, 0.0, 1.0, 9.0), report(Draining, 0.0, 2.0, 2.0)], true, Some(Availability::Draining); "a drain is believed from anybody")]
    #[test_case(&[report(Draining, 0.0, 1.0, 1.0), report(Ready, 0.0, 2.0, 9.0)], true, Some(Availability::Draining); "whichever came last")]
    #[test_case(&[report(Ready, 0.0, 1.0, 1.0), report(Gone, 0.0, 2.0, 2.0)], true, None; "gone, and who lists it is not heard")]
    #[test_case(&[report(Ready, 0.0, 1.0, 3.0), report(Gone, 0.0, 2.0, 2.0)], true, Some(Availability::Ready); "gone from one, and the other is heard and lists it")]
    #[test_case(&[report(Draining, 0.0, 1.0, 1.0), report(Gone, 0.0, 2.0, 2.0)], true, None; "drained and gone")]
    #[test_case(&[report(Draining, 5.0, 1.0, 1.0), report(Ready, 9.0, 2.0, 2.0)], true, Some(Availability::Ready); "the process that drained is replaced")]
    #[test_case(&[report(Gone, 5.0, 3.0, 3.0), report(Ready, 9.0, 2.0, 2.0)], true, Some(Availability::Ready); "the process that is gone is replaced")]
    #[test_case(&[report(Ready, 5.0, 3.0, 3.0), report(Gone, 9.0, 2.0, 2.0)], true, None; "the newer process is gone")]
    #[test_case(&[from_old_list(report(Ready, 0.0, 1.0, 1.0))], false, Some(Availability::Cached); "an old list, and nothing better")]
    #[test_case(&[from_old_list(report(Ready, 0.0, 1.0, 1.0))], true, None; "an old list beside a source in step")]
    #[test_case(&[from_old_list(report(Ready, 0.0, 1.0, 1.0)), report(Ready, 0.0, 2.0, 2.0)], true, Some(Availability::Ready); "an old list and a new one")]
    #[test_case(&[from_old_list(report(Draining, 0.0, 1.0, 1.0)), report(Ready, 0.0, 2.0, 2.0)], true, Some(Availability::Draining); "a drain is believed from an old list")]
    fn reports_settle_to(reports: &[Report], in_step: bool, expected: Option<Availability>) {
        assert_eq!(settle_reports(reports, in_step), expected);
    }
}
