//! Checks rule files locally, without a node.

use std::{fs, io, path::Path};

use daisysill_core::{
    ini_check::IniError,
    rules::{RuleFile, RuleSet},
};

use crate::exit_code::ExitCode;

/// File extension of rule files; others are ignored.
const RULE_FILE_EXTENSION: &str = "ini";

/// Checks the rule files below a directory and prints every error.
pub(crate) fn run(directory: &Path, json: bool) -> ExitCode {
    let files = match read_rule_files(directory) {
        Ok(files) => files,
        Err(error) => {
            eprintln!("daisysill: {}: {error}", directory.display());
            return ExitCode::Failure;
        }
    };
    let errors = RuleSet::parse(&files).err().unwrap_or_default();
    print(&errors, files.len(), json);
    if errors.is_empty() { ExitCode::Success } else { ExitCode::Invalid }
}

/// Reads the rule files of a directory and its subdirectories, sorted by name. Names are paths relative to
/// `directory`.
pub(crate) fn read_rule_files(directory: &Path) -> io::Result<Vec<RuleFile>> {
    let mut files = Vec::new();
    collect_into(directory, directory, &mut files)?;
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

fn collect_into(root: &Path, directory: &Path, files: &mut Vec<RuleFile>) -> io::Result<()> {
    for entry in fs::read_dir(directory)? {
        let path = entry?.path();
        if path.is_dir() {
            collect_into(root, &path, files)?;
        } else if path.extension().is_some_and(|extension| extension == RULE_FILE_EXTENSION) {
            let name = path.strip_prefix(root).unwrap_or(&path).display().to_string();
            files.push(RuleFile { name, text: fs::read_to_string(&path)? });
        }
    }
    Ok(())
}

fn print(errors: &[IniError], file_count: usize, json: bool) {
    if json {
        println!("{}", serde_json::json!({ "files": file_count, "errors": errors }));
        return;
    }
    for error in errors {
        eprintln!("{error}");
    }
    println!("{file_count} rule files, {} errors", errors.len());
}
