//! Evaluates the plug-ins of one supervisor once per second.

use std::sync::Arc;

use chutegrade_engine::{Engine, Micros, PluginAdvice, Report};
use chutegrade_plugins::host::{PluginEvent, PluginIdentity, RejectedPlugin};
use chutegrade_plugins::Host;

use crate::{advice_by_name, inputs_from_engine, EVALUATION_INTERVAL};

/// The plug-ins of one supervisor. The owner calls [`PluginAdvisor::evaluate`] at least once in an interval.
#[derive(Default)]
pub struct PluginAdvisor {
    host: Host,
    next_evaluation: Micros,
    /// Whether the last reported advice was not empty, so that it has to be replaced or withdrawn.
    has_reported_advice: bool,
}

impl PluginAdvisor {
    /// Replaces all loaded plug-ins atomically with these, given as pairs of file name and source. On any error the loaded
    /// ones stay.
    ///
    /// # Errors
    ///
    /// The plug-ins that do not compile or cannot be loaded together with the others, with their diagnostics.
    pub fn load(
        &mut self,
        sources: &[(String, String)],
    ) -> Result<Vec<PluginIdentity>, Vec<RejectedPlugin>> {
        self.host.load(sources)
    }

    /// Evaluates all plug-ins if an interval has passed, reports their advice to the engine, and returns the events to record,
    /// each with its plug-in's name.
    pub fn evaluate(&mut self, now: Micros, engine: &mut Engine) -> Vec<(Arc<str>, PluginEvent)> {
        if now < self.next_evaluation || self.is_idle() {
            return Vec::new();
        }
        self.next_evaluation = now + EVALUATION_INTERVAL;
        if self.host.all_suspended() {
            self.host.skip_evaluation();
            self.report(no_advice(now), engine);
            return Vec::new();
        }
        let inputs = inputs_from_engine(engine);
        let evaluation = self.host.evaluate(&inputs);
        self.report(advice_by_name(&evaluation.advice, &inputs, now), engine);
        evaluation.events
    }

    fn is_idle(&self) -> bool {
        self.host.is_empty() && !self.has_reported_advice
    }

    /// Reports advice to the engine. It replaces the previous one, so empty advice is reported only to withdraw another.
    fn report(&mut self, advice: PluginAdvice, engine: &mut Engine) {
        let has_advice = !is_empty(&advice);
        if has_advice || self.has_reported_advice {
            // A full queue drops outcomes and demand only, so advice is never refused.
            let _ = engine.report(Report::Advice(advice));
        }
        self.has_reported_advice = has_advice;
    }
}

fn no_advice(expires_at: Micros) -> PluginAdvice {
    PluginAdvice {
        expires_at,
        ..PluginAdvice::default()
    }
}

fn is_empty(advice: &PluginAdvice) -> bool {
    *advice == no_advice(advice.expires_at)
}
