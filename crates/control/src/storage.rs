//! The data folder: hard state, snapshot and log files, each with checksums.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
    sync::Arc,
};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    entry::{DiskId, HardState, Recovered, Snapshot, WriteBatch},
    log_files::LogFiles,
};

const HARD_STATE_FILE: &str = "hard-state";
const SNAPSHOT_FILE: &str = "snapshot";
const PROBE_FILE: &str = "disk-check";
/// Size of the write that shows that a disk accepts writes; a smaller one might fit into a partly used block of a full disk.
const PROBE_BYTES: usize = 64 * 1024;

/// Error of reading or writing the data folder.
#[derive(Debug)]
pub enum StorageError {
    /// The operating system reported an error, for example a full disk.
    Io {
        /// File or folder of the failed operation.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is damaged or missing in a way that no interrupted write explains.
    Damaged {
        /// The damaged or missing file, or the folder.
        path: PathBuf,
        /// Offset of the first byte that cannot be used.
        offset: u64,
        /// Kind of damage.
        reason: &'static str,
    },
    /// An earlier write failed, so the contents of the disk are unknown until the folder is opened again.
    Failed,
}

impl fmt::Display for StorageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { path, source } => write!(f, "{}: {source}", path.display()),
            Self::Damaged { path, offset, reason } => {
                write!(f, "{} is damaged at offset {offset}: {reason}", path.display())
            }
            Self::Failed => f.write_str(
                "an earlier write to the data folder failed; it is opened again once it accepts writes",
            ),
        }
    }
}

impl std::error::Error for StorageError {}

/// Adds the path to an error of the operating system.
pub(crate) fn with_path<T>(path: &Path, result: io::Result<T>) -> Result<T, StorageError> {
    result.map_err(|source| StorageError::Io { path: path.to_owned(), source })
}

/// Syncs a folder, which makes created, renamed and deleted names durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    with_path(folder, fs::File::open(folder).and_then(|file| file.sync_all()))
}

/// An open data folder.
#[derive(Debug)]
pub struct Storage {
    folder: PathBuf,
    log: LogFiles,
    /// The id in the stored hard state; `None` before the first one.
    disk: Option<DiskId>,
    failed: bool,
    /// Whether the log may hold entries of a failed write.
    has_unsynced: bool,
}

/// Opens a data folder and reads its contents; creates the folder if it is missing.
///
/// # Errors
/// Fails on I/O errors, and if a file is missing or damaged other than by an interrupted write.
///
/// ```
/// # fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let folder = tempfile::tempdir()?;
/// let (_storage, recovered) = daisysill_control::storage::open(folder.path())?;
/// assert!(recovered.hard_state.is_none());
/// # Ok(())
/// # }
/// ```
pub fn open(folder: impl AsRef<Path>) -> Result<(Storage, Recovered), StorageError> {
    let folder = folder.as_ref().to_owned();
    with_path(&folder, fs::create_dir_all(&folder))?;
    let hard_state: Option<HardState> = read_checked(&folder.join(HARD_STATE_FILE))?;
    let snapshot: Option<Snapshot> = read_checked(&folder.join(SNAPSHOT_FILE))?;
    let (mut log, mut recovered) = LogFiles::open(&folder)?;
    if let Some(snapshot) = &snapshot {
        let index = snapshot.position.index;
        let first = recovered.entries.first().map_or(index + 1, |entry| entry.position.index);
        let covered = recovered.entries.iter().find(|entry| entry.position.index == index);
        // A snapshot from the leader replaces the log; a crash between the two steps leaves the old log.
        if first <= index && covered.is_none_or(|entry| entry.position != snapshot.position) {
            log.reset()?;
            recovered.entries.clear();
            recovered.commit_index = index;
        }
        recovered.commit_index = recovered.commit_index.max(index);
    }
    let expected = snapshot.as_ref().map_or(1, |snapshot| snapshot.position.index + 1);
    let first = recovered.entries.first().map_or(expected, |entry| entry.position.index);
    if first > expected {
        let reason = "entries between the snapshot and the log are missing";
        return Err(StorageError::Damaged { path: folder, offset: 0, reason });
    }
    if hard_state.is_none() && (snapshot.is_some() || !recovered.entries.is_empty()) {
        let path = folder.join(HARD_STATE_FILE);
        return Err(StorageError::Damaged { path, offset: 0, reason: "the file is missing beside a log" });
    }
    let disk = hard_state.as_ref().map(|hard_state| hard_state.disk);
    recovered.hard_state = hard_state;
    recovered.snapshot = snapshot.map(Arc::new);
    Ok((Storage { folder, log, disk, failed: false, has_unsynced: false }, recovered))
}

impl Storage {
    /// Writes and syncs a batch.
    ///
    /// # Errors
    /// After the first error every further write fails, since the contents of the disk are unknown until the folder is
    /// opened again.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        self.failed = true;
        self.has_unsynced = true;
        self.write_parts(batch)?;
        self.failed = false;
        self.has_unsynced = false;
        Ok(())
    }

    /// Opens the folder again after a failed write and reads its contents. Entries of the failed write are removed: the
    /// kernel may still show them although they never reached the disk. Blocks while the disk hangs.
    ///
    /// # Errors
    /// Fails with [`StorageError::Io`] while the disk accepts no writes; then it may be called again. Fails with
    /// [`StorageError::Damaged`] if the folder is damaged or holds the state of another disk.
    pub fn reopen(&mut self) -> Result<Recovered, StorageError> {
        self.failed = true;
        self.probe()?;
        // Makes removals durable whose sync may have failed.
        sync_folder(&self.folder)?;
        if self.has_unsynced {
            self.log.discard_unsynced()?;
            // Opening may delete files before it fails, so that `log` no longer states what must be there.
            self.has_unsynced = false;
        }
        let (storage, recovered) = open(&self.folder)?;
        if self.disk.is_some() && storage.disk != self.disk {
            let path = self.folder.clone();
            let reason = "it no longer holds the state of this voter";
            return Err(StorageError::Damaged { path, offset: 0, reason });
        }
        *self = storage;
        Ok(recovered)
    }

    /// Checks that the disk accepts writes.
    fn probe(&self) -> Result<(), StorageError> {
        let path = self.folder.join(PROBE_FILE);
        let written = fs::write(&path, vec![0; PROBE_BYTES])
            .and_then(|()| fs::File::open(&path).and_then(|file| file.sync_all()));
        // Also after a failed write: the part that was written takes space.
        let removed = fs::remove_file(&path);
        with_path(&path, written.and(removed))
    }

    fn write_parts(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        if let Some(hard_state) = &batch.hard_state {
            write_checked(&self.folder, HARD_STATE_FILE, hard_state)?;
            self.disk = Some(hard_state.disk);
        }
        if let Some(snapshot) = &batch.snapshot {
            write_checked(&self.folder, SNAPSHOT_FILE, snapshot.as_ref())?;
        }
        if batch.reset_log {
            self.log.reset()?;
        }
        if let Some(index) = batch.truncate_from {
            self.log.truncate_from(index)?;
        }
        if !batch.entries.is_empty() {
            self.log.append(&batch.entries, batch.commit_index)?;
        }
        if batch.snapshot.is_some() {
            self.log.drop_before(batch.first_index)?;
        }
        Ok(())
    }
}

/// Replaces a file atomically with the checksum and encoding of a value: writes and syncs a temporary file, renames it,
/// and syncs the folder.
fn write_checked<T: Serialize>(folder: &Path, name: &str, value: &T) -> Result<(), StorageError> {
    let path = folder.join(name);
    let temporary = folder.join(format!("{name}.new"));
    let encode_error = |error| with_path(&path, Err(io::Error::other(error)));
    let body = postcard::to_stdvec(value).or_else(encode_error)?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    with_path(&temporary, fs::write(&temporary, &bytes))?;
    with_path(&temporary, fs::File::open(&temporary).and_then(|file| file.sync_all()))?;
    with_path(&path, fs::rename(&temporary, &path))?;
    sync_folder(folder)
}

/// Reads a file written by [`write_checked`]; `None` if it does not exist.
fn read_checked<T: DeserializeOwned>(path: &Path) -> Result<Option<T>, StorageError> {
    let damaged = |reason| StorageError::Damaged { path: path.to_owned(), offset: 0, reason };
    let bytes = match fs::read(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        result => with_path(path, result)?,
    };
    let (checksum, body) = bytes.split_first_chunk::<4>().ok_or_else(|| damaged("the file is truncated"))?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(damaged("the checksum does not match"));
    }
    postcard::from_bytes(body).map(Some).map_err(|_| damaged("the content cannot be decoded"))
}
