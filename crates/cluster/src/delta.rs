//! Deltas between configurations, sent to followers instead of whole configurations.

use std::collections::BTreeMap;

use daisysill_control::state::ConfigView;
use daisysill_core::rules::RuleFile;
use daisysill_wire::peer::ConfigDelta;

/// Returns the delta that turns `old` into `new`.
pub(crate) fn diff(old: &ConfigView, new: &ConfigView) -> ConfigDelta {
    let rules = new.rules.iter().filter(|file| !old.rules.contains(file));
    let blocked = new.blocked.iter().filter(|(name, until)| old.blocked.get(*name) != Some(until));
    let unblocked = old.blocked.keys().filter(|name| !new.blocked.contains_key(*name));
    ConfigDelta {
        base: old.version,
        version: new.version,
        rules_version: new.rules_version,
        rule_names: new.rules.iter().map(|file| file.name.clone()).collect(),
        rules: rules.cloned().collect(),
        draining: (old.draining != new.draining).then(|| new.draining.clone()),
        weights: (old.weights != new.weights).then(|| new.weights.clone()),
        document: (old.document != new.document).then(|| new.document.clone()).flatten(),
        target_versions: (old.target_versions != new.target_versions).then(|| new.target_versions.clone()),
        blocked: blocked.map(|(name, until)| (name.clone(), *until)).collect(),
        unblocked: unblocked.cloned().collect(),
        suspected: new.suspects.difference(&old.suspects).copied().collect(),
        cleared: old.suspects.difference(&new.suspects).copied().collect(),
        log_time_ms: new.log_time_ms,
    }
}

/// Applies `delta` to `base`; `None` if its base is another version or a rule file is missing.
pub(crate) fn apply(base: &ConfigView, delta: &ConfigDelta) -> Option<ConfigView> {
    if base.version != delta.base {
        return None;
    }
    let files = base.rules.iter().chain(&delta.rules);
    let by_name: BTreeMap<&str, &RuleFile> = files.map(|file| (file.name.as_str(), file)).collect();
    let rules = delta.rule_names.iter().map(|name| by_name.get(name.as_str()).map(|file| (*file).clone()));
    let mut blocked = base.blocked.clone();
    blocked.retain(|name, _| !delta.unblocked.contains(name));
    blocked.extend(delta.blocked.clone());
    let mut suspects = base.suspects.clone();
    suspects.retain(|digest| !delta.cleared.contains(digest));
    suspects.extend(&delta.suspected);
    Some(ConfigView {
        version: delta.version,
        rules_version: delta.rules_version,
        rules: rules.collect::<Option<_>>()?,
        draining: delta.draining.clone().unwrap_or_else(|| base.draining.clone()),
        weights: delta.weights.clone().unwrap_or_else(|| base.weights.clone()),
        document: delta.document.clone().or_else(|| base.document.clone()),
        target_versions: delta.target_versions.clone().unwrap_or_else(|| base.target_versions.clone()),
        blocked,
        suspects,
        log_time_ms: delta.log_time_ms,
    })
}
