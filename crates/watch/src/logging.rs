//! Sets up the `log` facade with logforth.
//!
//! Every message is a short sentence after the prefix of the component, for example
//! `entry: listening on 127.0.0.1:8080`. Logs go to standard output.

use std::env;
use std::str::FromStr;

use derive_more::{Display, Error};
use log::LevelFilter;
use logforth::filter::rustlog::RustLogFilter;
use logforth::layout::{JsonLayout, TextLayout};

use crate::output::BoundedOutput;

/// Environment variable with the log level; the command line takes precedence.
pub const LEVEL_VARIABLE: &str = "SAPPHIRE_LOG";
/// Environment variable with the log format; the command line takes precedence.
pub const FORMAT_VARIABLE: &str = "SAPPHIRE_LOG_FORMAT";

/// Errors of setting up logging.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum LogError {
    /// The level is none of `off`, `error`, `warn`, `info`, `debug`, `trace`.
    #[display("log level {text:?} is unknown; use off, error, warn, info, debug or trace")]
    UnknownLevel {
        /// The text that was given.
        text: String,
    },
    /// The format is neither `text` nor `json`.
    #[display("log format {text:?} is unknown; use text or json")]
    UnknownFormat {
        /// The text that was given.
        text: String,
    },
    /// A logger is already installed.
    #[display("a logger is already installed")]
    AlreadyInstalled,
}

/// Result of setting up logging.
pub type Result<T> = std::result::Result<T, LogError>;

/// Format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = LogError;

    fn from_str(text: &str) -> Result<Self> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(LogError::UnknownFormat {
                text: text.to_owned(),
            }),
        }
    }
}

/// Log level and format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LevelFilter,
    /// Format of a line.
    pub format: LogFormat,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            format: LogFormat::Text,
        }
    }
}

impl LogSettings {
    /// Takes level and format from the arguments, or else from the environment, or else the
    /// defaults.
    ///
    /// # Errors
    /// The level or the format is unknown.
    pub fn choose(level: Option<&str>, format: Option<&str>) -> Result<Self> {
        let defaults = Self::default();
        let level = argument_or_variable(level, LEVEL_VARIABLE)
            .map_or(Ok(defaults.level), |text| parse_level(&text))?;
        let format = argument_or_variable(format, FORMAT_VARIABLE)
            .map_or(Ok(defaults.format), |text| LogFormat::from_str(&text))?;
        Ok(Self { level, format })
    }

    /// Installs the global logger of this process.
    ///
    /// # Errors
    /// [`LogError::AlreadyInstalled`] when a logger is already installed.
    pub fn install(self) -> Result<()> {
        let append = match self.format {
            LogFormat::Text => BoundedOutput::start(TextLayout::default().no_color()),
            LogFormat::Json => BoundedOutput::start(JsonLayout::default()),
        };
        let filter = RustLogFilter::from(self.level.as_str().to_lowercase().as_str());
        let starter = logforth::starter_log::builder()
            .dispatch(|dispatch| dispatch.filter(filter).append(append));
        starter
            .try_apply()
            .map_err(|_| LogError::AlreadyInstalled)?;
        log::set_max_level(self.level);
        Ok(())
    }
}

fn argument_or_variable(argument: Option<&str>, variable: &str) -> Option<String> {
    let argument = argument.map(str::to_owned);
    argument.or_else(|| env::var(variable).ok().filter(|text| !text.is_empty()))
}

fn parse_level(text: &str) -> Result<LevelFilter> {
    LevelFilter::from_str(text).map_err(|_| LogError::UnknownLevel {
        text: text.to_owned(),
    })
}
