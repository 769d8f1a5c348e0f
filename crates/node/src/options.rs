//! The command line of daisysilld.

use std::path::PathBuf;

/// The command line as parsed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the settings file; `None` only with `on_platform` or `print`.
    pub settings_path: Option<PathBuf>,
    /// Whether to run with the platform's settings file instead of `settings_path`.
    pub on_platform: bool,
    /// Whether to check the settings and exit without serving.
    pub check_only: bool,
    /// Text of `--help` or `--version` to print instead of serving.
    pub print: Option<String>,
}

impl Options {
    /// Parses the arguments that follow the program's name.
    ///
    /// # Errors
    /// Returns a message for the user if an argument is not valid or no settings file is given.
    pub fn parse<I: IntoIterator<Item = String>>(arguments: I) -> Result<Self, String> {
        let mut parser = getopts::Options::new();
        parser.optopt("c", "config", "serve with the settings in FILE", "FILE");
        parser.optopt("", "check-settings", "check the settings in FILE and exit", "FILE");
        parser.optflag("", "platform", "serve as the settings file of the platform says");
        parser.optflag("h", "help", "print this text");
        parser.optflag("V", "version", "print the version");
        let matches = parser.parse(arguments).map_err(|error| error.to_string())?;
        if let Some(unexpected) = matches.free.first() {
            return Err(format!("unexpected argument {unexpected:?}; see daisysilld --help"));
        }
        let print = if matches.opt_present("help") {
            Some(parser.usage("Usage: daisysilld --config FILE"))
        } else if matches.opt_present("version") {
            Some(format!("daisysilld {}\n", env!("CARGO_PKG_VERSION")))
        } else {
            None
        };
        let check = matches.opt_str("check-settings");
        let options = Self {
            check_only: check.is_some(),
            settings_path: check.or_else(|| matches.opt_str("config")).map(PathBuf::from),
            on_platform: matches.opt_present("platform"),
            print,
        };
        if options.print.is_none() && options.settings_path.is_none() && !options.on_platform {
            return Err("no settings file given; use --config FILE".to_owned());
        }
        Ok(options)
    }
}
