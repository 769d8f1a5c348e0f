//! Reads INI files and collects every error with its file, line, section and key.

use std::{fmt, str::FromStr};

use ini::Ini;

/// Jaro-Winkler similarity from which an unknown name is taken for a misspelling of a known one.
const SUGGESTION_SIMILARITY: f64 = 0.75;

value_types! {
    /// One error in an INI file.
    pub struct IniError {
        /// The file's name as given to [`IniFile::parse`].
        pub file: String,
        /// The line, counted from 1; 0 if the error has none.
        pub line: usize,
        /// The section, empty for a syntax error.
        pub section: String,
        /// The key, empty if the error concerns the whole section.
        pub key: String,
        /// The value found, empty if there is none.
        pub value: String,
        /// What is allowed instead.
        pub allowed: String,
    }
}

impl fmt::Display for IniError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { file, line, section, key, value, allowed } = self;
        write!(f, "{file}:{line}: [{section}] {key} = {value:?}: {allowed}")
    }
}

/// A parsed INI file and the errors found in it so far.
#[derive(Debug)]
pub struct IniFile<'a> {
    name: &'a str,
    text: &'a str,
    ini: Ini,
    errors: Vec<IniError>,
}

impl<'a> IniFile<'a> {
    /// Parses `text`. Fails at the first syntax error and reports no other error then.
    pub fn parse(name: &'a str, text: &'a str) -> Result<Self, Box<IniError>> {
        match Ini::load_from_str(text) {
            Ok(ini) => Ok(Self { name, text, ini, errors: Vec::new() }),
            Err(error) => Err(Box::new(IniError {
                file: name.to_owned(),
                line: error.line,
                section: String::new(),
                key: String::new(),
                value: String::new(),
                allowed: format!("not valid INI: {}", error.msg),
            })),
        }
    }

    /// Returns the names of the sections in file order.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns a value as written; `None` if the key is absent.
    pub fn raw(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section)).and_then(|properties| properties.get(key))
    }

    /// Returns the keys and values of a section, none if it is absent.
    pub fn entries(&self, section: &str) -> Vec<(String, String)> {
        let properties = self.ini.section(Some(section));
        let pairs = properties.into_iter().flat_map(|p| p.iter());
        pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
    }

    /// Returns the parsed value, or `default` if the key is absent or, after reporting an error, does not parse.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        let Some(raw) = self.raw(section, key).map(str::to_owned) else { return default };
        if let Ok(value) = raw.parse() {
            return value;
        }
        self.report(section, key, &raw, allowed);
        default
    }

    /// Like [`IniFile::value`], for a number that must lie in `min..=max`.
    pub fn number(&mut self, section: &str, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let allowed = format!("a whole number from {min} to {max}");
        let value = self.value(section, key, default, &allowed);
        if (min..=max).contains(&value) {
            return value;
        }
        self.report(section, key, &value.to_string(), &allowed);
        default
    }

    /// Returns the text of a key; reports an error and returns an empty text if it is absent or empty.
    pub fn required(&mut self, section: &str, key: &str, allowed: &str) -> String {
        match self.raw(section, key).map(str::to_owned) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.report(section, key, "", &format!("required: {allowed}"));
                String::new()
            }
        }
    }

    /// Reports every key of `section` that is not in `known`, and suggests a similar known one.
    pub fn check_keys(&mut self, section: &str, known: &[&str]) {
        for (key, value) in self.entries(section) {
            if !known.contains(&key.as_str()) {
                let allowed = unknown_name("key", &key, known);
                self.report(section, &key, &value, &allowed);
            }
        }
    }

    /// Reports an unknown section, and suggests a similar one of `known`.
    pub fn unknown_section(&mut self, section: &str, known: &[&str]) {
        let allowed = unknown_name("section", section, known);
        self.report(section, "", "", &allowed);
    }

    /// Adds an error at the line of a key, or of its section if the key is absent.
    pub fn report(&mut self, section: &str, key: &str, value: &str, allowed: &str) {
        self.errors.push(IniError {
            file: self.name.to_owned(),
            line: line_of(self.text, section, key),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Returns the errors found, in the order of the checks.
    pub fn into_errors(self) -> Vec<IniError> {
        self.errors
    }
}

fn unknown_name(kind: &str, name: &str, known: &[&str]) -> String {
    let nearest = known.iter().max_by(|a, b| similarity(a, name).total_cmp(&similarity(b, name)));
    match nearest.filter(|candidate| similarity(candidate, name) >= SUGGESTION_SIMILARITY) {
        Some(candidate) => format!("unknown {kind}; did you mean {candidate:?}?"),
        None => format!("unknown {kind}; known: {}", known.join(", ")),
    }
}

fn similarity(a: &str, b: &str) -> f64 {
    strsim::jaro_winkler(a, b)
}

/// Returns the line of a key, or of its section's header if the key is absent; 0 if both are.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut section_line = 0;
    let mut in_section = false;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            in_section = line.trim_matches(['[', ']']) == section;
            if in_section {
                section_line = index + 1;
            }
            continue;
        }
        let name = line.split(['=', ':']).next().unwrap_or("").trim();
        if in_section && !key.is_empty() && name == key {
            return index + 1;
        }
    }
    section_line
}
