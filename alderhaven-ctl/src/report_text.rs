//! The human-readable text of command reports.

use std::fmt::{self, Display, Formatter};

use crate::command_report::{
    ChangeReport, CommandReport, DiffReport, FailureReport, HistoryReport, NodesReport,
    PublishReport, StatusReport,
};
use crate::file_check::CheckReport;
use crate::publish_outcome;

impl Display for CommandReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Check(report) => report.fmt(formatter),
            Self::Diff(report) => report.fmt(formatter),
            Self::Publish(report) => report.fmt(formatter),
            Self::Status(report) => report.fmt(formatter),
            Self::Nodes(report) => report.fmt(formatter),
            Self::History(report) => report.fmt(formatter),
            Self::Token(report) => formatter.write_str(&report.token_hash),
            Self::Failure(report) => report.fmt(formatter),
        }
    }
}

impl Display for CheckReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for problem in &self.problems {
            writeln!(formatter, "{problem}")?;
        }
        write!(
            formatter,
            "{} files checked, {} problems",
            self.files,
            self.problems.len()
        )
    }
}

impl Display for ChangeReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match &self.stored_by {
            Some(writer) => write!(formatter, "{}, stored by {writer}", self.key)?,
            None => write!(formatter, "{}, new", self.key)?,
        }
        if self.unchanged {
            formatter.write_str(": unchanged")?;
        }
        for field in &self.fields {
            write!(formatter, "\n    {field}")?;
        }
        Ok(())
    }
}

impl Display for DiffReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for change in self.changes.iter().filter(|change| !change.unchanged) {
            writeln!(formatter, "{change}")?;
        }
        let changed = self.changes.iter().filter(|change| !change.unchanged);
        write!(
            formatter,
            "{} of {} objects differ",
            changed.count(),
            self.changes.len()
        )
    }
}

impl Display for PublishReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if !self.unreviewed.is_empty() {
            writeln!(
                formatter,
                "nothing was published: these objects were last written by someone else. Review \
                 the difference with `diff --plan FILE`, then run `publish --plan FILE`."
            )?;
        }
        for change in &self.unreviewed {
            writeln!(formatter, "{change}")?;
        }
        for publication in &self.publications {
            writeln!(formatter, "{}: {}", publication.key, publication.outcome)?;
            for field in &publication.winner_changed {
                writeln!(formatter, "    {field}")?;
            }
        }
        match &self.in_force {
            Some(report) => report.fmt(formatter),
            None => write!(formatter, "objects: {}", self.publications.len()),
        }
    }
}

impl Display for StatusReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for node in &self.nodes {
            match (&node.answer, &node.error) {
                (Some(status), _) => writeln!(formatter, "{}: {status}", node.address)?,
                (None, error) => {
                    let reason = error.as_deref().unwrap_or_default();
                    writeln!(formatter, "{} does not answer: {reason}", node.address)?;
                }
            }
        }
        match &self.in_force {
            Some(report) => report.fmt(formatter),
            None => write!(formatter, "{} nodes", self.nodes.len()),
        }
    }
}

impl Display for NodesReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        for (index, node) in self.nodes.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            match (&node.answer, &node.error) {
                (Some(answer), _) => write!(formatter, "{}: {answer:#}", node.address)?,
                (None, error) => {
                    let reason = error.as_deref().unwrap_or_default();
                    write!(formatter, "{} failed: {reason}", node.address)?;
                }
            }
        }
        Ok(())
    }
}

impl Display for HistoryReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match &self.current {
            Some(object) => {
                let writer = publish_outcome::writer_text(object);
                write!(formatter, "{}, stored by {writer}", self.key)?;
            }
            None => write!(formatter, "{}, not stored", self.key)?,
        }
        for entry in self.history.entries.iter().rev() {
            let body = entry.body.as_deref().unwrap_or("(deleted)");
            write!(
                formatter,
                "\n  version {} by {}: {body}",
                entry.version, entry.write_id
            )?;
        }
        Ok(())
    }
}

impl Display for FailureReport {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "error: {}", self.reason)
    }
}
