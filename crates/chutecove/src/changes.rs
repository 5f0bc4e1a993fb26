//! What differs between two bundles, as lines for an operator. Keys are shown by their fingerprints.

use bundle::{Bundle, Delta, KeyFingerprint, Object, ObjectId, Tenant};
use std::collections::BTreeSet;
use std::fmt::Display;

/// One line for each object that differs, and for tenants what differs in them.
pub fn lines(old: &Bundle, new: &Bundle) -> Vec<String> {
    let delta = Delta::between(old, new);
    let mut lines: Vec<String> = delta.removed.iter().map(|id| format!("- {id}")).collect();
    for object in &delta.upserts {
        let id = object.id();
        let sign = if old.objects().contains_key(&id) { '~' } else { '+' };
        lines.push(format!("{sign} {id}"));
        if let Object::Tenant(tenant) = object {
            lines.extend(tenant_lines(tenant_of(old, &id), tenant));
        }
    }
    lines
}

fn tenant_of<'a>(bundle: &'a Bundle, id: &ObjectId) -> Option<&'a Tenant> {
    match &bundle.objects().get(id)?.object {
        Object::Tenant(tenant) => Some(tenant),
        _ => None,
    }
}

fn tenant_lines(old: Option<&Tenant>, new: &Tenant) -> Vec<String> {
    let fingerprints = |tenant: &Tenant| tenant.fingerprints().into_iter().collect();
    let held: BTreeSet<KeyFingerprint> = old.map(fingerprints).unwrap_or_default();
    let holds: BTreeSet<KeyFingerprint> = fingerprints(new);
    let mut lines: Vec<String> =
        held.difference(&holds).map(|key| format!("    - key {key}")).collect();
    lines.extend(holds.difference(&held).map(|key| format!("    + key {key}")));
    let Some(old) = old else {
        return lines;
    };
    lines.extend(change("rate_milli", old.rate_milli, new.rate_milli));
    lines.extend(change("burst", old.burst, new.burst));
    let word = |rank: Option<u32>| rank.map_or("none".to_owned(), |rank| rank.to_string());
    lines.extend(change("rank", word(old.rank), word(new.rank)));
    lines
}

fn change<T: Display + PartialEq>(field: &str, old: T, new: T) -> Option<String> {
    (old != new).then(|| format!("    {field} {old} -> {new}"))
}
