//! Reads INI files as a whole and reports every error with its place.

use std::{fmt, str::FromStr};

use ini::Ini;

/// Similarity from which an unknown name is taken for a misspelling of a known one.
const SUGGESTION_SIMILARITY: f64 = 0.75;

value_types! {
    /// One error in an INI file.
    pub struct IniError {
        /// The file's name.
        pub file: String,
        /// The line, counted from 1; 0 if the error concerns the whole file.
        pub line: usize,
        /// The section.
        pub section: String,
        /// The key, empty if the error concerns the whole section.
        pub key: String,
        /// The value found.
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

/// An INI file under inspection.
#[derive(Debug)]
pub struct IniFile<'a> {
    name: &'a str,
    text: &'a str,
    ini: Ini,
    errors: Vec<IniError>,
}

impl<'a> IniFile<'a> {
    /// Parses `text`; a syntax error is the only error reported then.
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

    /// Returns the names of the sections in the file's order.
    pub fn sections(&self) -> Vec<String> {
        self.ini.sections().flatten().map(str::to_owned).collect()
    }

    /// Returns a value as written.
    pub fn raw(&self, section: &str, key: &str) -> Option<&str> {
        self.ini.section(Some(section)).and_then(|properties| properties.get(key))
    }

    /// Returns the keys and values of a section.
    pub fn entries(&self, section: &str) -> Vec<(String, String)> {
        let properties = self.ini.section(Some(section));
        let pairs = properties.into_iter().flat_map(|p| p.iter());
        pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
    }

    /// Returns the parsed value, `default` if the key is absent; a value that does not parse is an error.
    pub fn value<T: FromStr>(&mut self, section: &str, key: &str, default: T, allowed: &str) -> T {
        let Some(raw) = self.raw(section, key).map(str::to_owned) else { return default };
        if let Ok(value) = raw.parse() {
            return value;
        }
        self.report(section, key, &raw, allowed);
        default
    }

    /// Returns a number within bounds, `default` if the key is absent.
    pub fn number(&mut self, section: &str, key: &str, default: u64, min: u64, max: u64) -> u64 {
        let allowed = format!("a whole number from {min} to {max}");
        let value = self.value(section, key, default, &allowed);
        if (min..=max).contains(&value) {
            return value;
        }
        self.report(section, key, &value.to_string(), &allowed);
        default
    }

    /// Returns the text of a key that must be present and not empty.
    pub fn required(&mut self, section: &str, key: &str, allowed: &str) -> String {
        match self.raw(section, key).map(str::to_owned) {
            Some(value) if !value.is_empty() => value,
            _ => {
                self.report(section, key, "", &format!("required: {allowed}"));
                String::new()
            }
        }
    }

    /// Reports every key of `section` that is not in `known`, with the nearest known name.
    pub fn check_keys(&mut self, section: &str, known: &[&str]) {
        for (key, value) in self.entries(section) {
            if !known.contains(&key.as_str()) {
                let allowed = unknown_name("key", &key, known);
                self.report(section, &key, &value, &allowed);
            }
        }
    }

    /// Reports a section that is not known.
    pub fn unknown_section(&mut self, section: &str, known: &[&str]) {
        let allowed = unknown_name("section", section, known);
        self.report(section, "", "", &allowed);
    }

    /// Adds an error at the place of a key.
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

    /// Returns the errors found so far.
    pub fn into_errors(self) -> Vec<IniError> {
        self.errors
    }
}

fn unknown_name(what: &str, name: &str, known: &[&str]) -> String {
    let nearest = known.iter().max_by(|a, b| similarity(a, name).total_cmp(&similarity(b, name)));
    match nearest.filter(|candidate| similarity(candidate, name) >= SUGGESTION_SIMILARITY) {
        Some(candidate) => format!("unknown {what}; did you mean {candidate:?}?"),
        None => format!("unknown {what}; known: {}", known.join(", ")),
    }
}

fn similarity(a: &str, b: &str) -> f64 {
    strsim::jaro_winkler(a, b)
}

/// Returns the line of a key, or of its section's header when the key is absent.
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
