//! `chutecove-lab report`: collects the results of all experiments of a folder on one page.

use super::{load, Findings};
use getopts::Options;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Writes `report.md` into the folder of the results.
pub fn run(arguments: &[String]) -> Result<(), crate::Failure> {
    let mut options = Options::new();
    options.optopt("", "out", "folder of the findings (results)", "DIR");
    let matches = options.parse(arguments).map_err(|error| error.to_string())?;
    let folder = PathBuf::from(matches.opt_str("out").unwrap_or_else(|| "results".to_owned()));
    let mut text = "# Measured\n".to_owned();
    for path in findings_files(&folder)? {
        add_findings(&mut text, &load(&path)?);
    }
    let path = folder.join("report.md");
    std::fs::write(&path, text).map_err(|error| error.to_string())?;
    println!("{}", path.display());
    Ok(())
}

fn findings_files(folder: &Path) -> Result<Vec<PathBuf>, crate::Failure> {
    let listing =
        std::fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let paths = listing.flatten().map(|file| file.path());
    let is_json = |path: &PathBuf| path.extension().is_some_and(|extension| extension == "json");
    let mut paths: Vec<PathBuf> = paths.filter(is_json).collect();
    paths.sort();
    Ok(paths)
}

fn add_findings(text: &mut String, findings: &Findings) {
    let _ = write!(text, "\n## {}\n\n| Figure | Value |\n|---|---|\n", findings.name);
    for (name, value) in &findings.figures {
        let _ = writeln!(text, "| {name} | {value:.3} |");
    }
    for problem in &findings.problems {
        let _ = writeln!(text, "\nNot reached: {problem}");
    }
    if !findings.series.is_empty() {
        let _ = writeln!(text, "\n![{0}]({0}.svg)", findings.name);
    }
}
