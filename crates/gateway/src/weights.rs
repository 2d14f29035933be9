//! Versions of weights that servers state in their answers.

use juniper_placement::Choice;

use crate::call::Call;
use crate::dialect::AnswerInfo;
use crate::gateway::Gateway;

impl Gateway {
    /// Records the version of the weights that an answer states. Logs what this router believed if
    /// the server rejected the request for its version.
    pub(crate) fn observe_weights(&self, call: &Call, choice: &Choice, info: &AnswerInfo) {
        if info.is_wrong_version {
            self.log_rejected_version(call, choice, info);
        }
        // An answer to another request may be of another model.
        let version = info.version.filter(|_| info.matches_request);
        if let (Some(version), Some(model)) = (version, choice.model) {
            self.placement().observe_version(&choice.instance, model, version);
        }
    }

    fn log_rejected_version(&self, call: &Call, choice: &Choice, info: &AnswerInfo) {
        let model = call.info.prompt.as_ref().map_or("-", |prompt| prompt.model.as_str());
        let view = self.feed.latest();
        let listed = view.instances.get(choice.instance.name());
        let reported = listed.and_then(|server| server.report.version_of(model)).unwrap_or(0);
        log::info!(
            "event=weights_rejected request={} instance={} model={model} expected={} reported={reported} \
             answered={}",
            call.id(),
            choice.instance,
            choice.version,
            info.version.unwrap_or(0)
        );
    }
}
