//! What several sources' words on one server come to.

/// A source's word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Say {
    Ready,
    Draining,
    Gone,
}

/// A source's word on a server, and what it is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Says {
    pub say: Say,
    /// Of which process, by its start.
    pub started: f64,
    /// When it was said, and when its source was last heard.
    pub at: f64,
    pub heard: f64,
    /// It stood in a list that was old already.
    pub old: bool,
}

/// How a server is offered to the decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
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
pub fn settle(says: &[Says], in_step: bool) -> Option<Offer> {
    let newest = says.iter().map(|s| s.started).max_by(f64::total_cmp)?;
    let of = |say: Say| says.iter().filter(move |s| s.started == newest && s.say == say);
    let gone = of(Say::Gone).map(|s| s.at).max_by(f64::total_cmp);
    let stands = |s: &&Says| gone.is_none_or(|gone| s.heard > gone);
    if of(Say::Draining).next().is_some() {
        // One that drains and is gone from elsewhere is gone.
        return of(Say::Draining).any(|s| stands(&s)).then_some(Offer::Draining);
    }
    let mut ready = of(Say::Ready).filter(stands).peekable();
    ready.peek()?;
    if ready.any(|s| !s.old) {
        return Some(Offer::Ready);
    }
    (!in_step).then_some(Offer::Cached)
}

#[cfg(test)]
mod tests {
    use super::*;
    use Say::{Draining, Gone, Ready};
    use test_case::test_case;

    fn says(say: Say, started: f64, at: f64, heard: f64) -> Says {
        Says { say, started, at, heard, old: false }
    }

    fn old(s: Says) -> Says {
        Says { old: true, ..s }
    }

    #[test_case(&[], true, None; "nobody knows it")]
    #[test_case(&[says(Ready, 0.0, 1.0, 1.0)], true, Some(Offer::Ready); "ready")]
    #[test_case(&[says(Draining, 0.0, 1.0, 1.0)], true, Some(Offer::Draining); "drains")]
    #[test_case(&[says(Gone, 0.0, 1.0, 1.0)], true, None; "gone")]
    #[test_case(&[says(Ready, 0.0, 1.0, 9.0), says(Draining, 0.0, 2.0, 2.0)], true, Some(Offer::Draining); "a drain is believed from anybody")]
    #[test_case(&[says(Draining, 0.0, 1.0, 1.0), says(Ready, 0.0, 2.0, 9.0)], true, Some(Offer::Draining); "whichever came last")]
    #[test_case(&[says(Ready, 0.0, 1.0, 1.0), says(Gone, 0.0, 2.0, 2.0)], true, None; "gone, and who lists it is not heard")]
    #[test_case(&[says(Ready, 0.0, 1.0, 3.0), says(Gone, 0.0, 2.0, 2.0)], true, Some(Offer::Ready); "gone from one, and the other is heard and lists it")]
    #[test_case(&[says(Draining, 0.0, 1.0, 1.0), says(Gone, 0.0, 2.0, 2.0)], true, None; "drained and gone")]
    #[test_case(&[says(Draining, 5.0, 1.0, 1.0), says(Ready, 9.0, 2.0, 2.0)], true, Some(Offer::Ready); "the process that drained is replaced")]
    #[test_case(&[says(Gone, 5.0, 3.0, 3.0), says(Ready, 9.0, 2.0, 2.0)], true, Some(Offer::Ready); "the process that is gone is replaced")]
    #[test_case(&[says(Ready, 5.0, 3.0, 3.0), says(Gone, 9.0, 2.0, 2.0)], true, None; "the newer process is gone")]
    #[test_case(&[old(says(Ready, 0.0, 1.0, 1.0))], false, Some(Offer::Cached); "an old list, and nothing better")]
    #[test_case(&[old(says(Ready, 0.0, 1.0, 1.0))], true, None; "an old list beside a source in step")]
    #[test_case(&[old(says(Ready, 0.0, 1.0, 1.0)), says(Ready, 0.0, 2.0, 2.0)], true, Some(Offer::Ready); "an old list and a new one")]
    #[test_case(&[old(says(Draining, 0.0, 1.0, 1.0)), says(Ready, 0.0, 2.0, 2.0)], true, Some(Offer::Draining); "a drain is believed from an old list")]
    fn words_come_to(all: &[Says], in_step: bool, offer: Option<Offer>) {
        assert_eq!(settle(all, in_step), offer);
    }
}
