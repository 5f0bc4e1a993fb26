//! Human-readable diff of two bundles. API keys are shown by their fingerprints only.

use bundle::{Bundle, Delta, KeyFingerprint, Object, ObjectId, Tenant};
use std::collections::BTreeSet;
use std::fmt::Display;

/// Returns one line for each object that was removed (`-`), changed (`~`) or added (`+`), followed by
/// the changed fields of tenants.
pub fn lines(old: &Bundle, new: &Bundle) -> Vec<String> {
    let delta = Delta::between(old, new);
    let mut lines: Vec<String> = delta.removed.iter().map(|id| format!("- {id}")).collect();
    for object in &delta.upserts {
        let id = object.id();
        let sign = if old.objects().contains_key(&id) { '~' } else { '+' };
        lines.push(format!("{sign} {id}"));
        if let Object::Tenant(tenant) = object {
            lines.extend(tenant_lines(find_tenant(old, &id), tenant));
        }
    }
    lines
}

fn find_tenant<'a>(bundle: &'a Bundle, id: &ObjectId) -> Option<&'a Tenant> {
    match &bundle.objects().get(id)?.object {
        Object::Tenant(tenant) => Some(tenant),
        _ => None,
    }
}

fn tenant_lines(old: Option<&Tenant>, new: &Tenant) -> Vec<String> {
    let fingerprints = |tenant: &Tenant| tenant.fingerprints().into_iter().collect();
    let old_keys: BTreeSet<KeyFingerprint> = old.map(fingerprints).unwrap_or_default();
    let new_keys: BTreeSet<KeyFingerprint> = fingerprints(new);
    let mut lines: Vec<String> =
        old_keys.difference(&new_keys).map(|key| format!("    - key {key}")).collect();
    lines.extend(new_keys.difference(&old_keys).map(|key| format!("    + key {key}")));
    let Some(old) = old else {
        return lines;
    };
    lines.extend(field_change("rate_milli", old.rate_milli, new.rate_milli));
    lines.extend(field_change("burst", old.burst, new.burst));
    let rank_text = |rank: Option<u32>| rank.map_or("none".to_owned(), |rank| rank.to_string());
    lines.extend(field_change("rank", rank_text(old.rank), rank_text(new.rank)));
    lines
}

fn field_change<T: Display + PartialEq>(field: &str, old: T, new: T) -> Option<String> {
    (old != new).then(|| format!("    {field} {old} -> {new}"))
}
