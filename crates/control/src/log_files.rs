//! Log files: records with a length and a checksum, in files named after their first index and rotated by size.
//!
//! A record is a header ([`MAGIC`], length of the body, CRC-32 of batch start and body, file offset of the batch's
//! first record, all little-endian) and a postcard-encoded [`Record`].

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
    sync::Arc,
};

use daisysill_core::value_types;

use crate::{
    entry::{Entry, Recovered},
    storage::{StorageError, sync_folder, with_path},
};

/// Marks the start of a record, so that intact records can be found after a damaged one.
const MAGIC: [u8; 4] = *b"dslr";
/// Magic (4), length (4), checksum (4) and batch start (8).
const HEADER_BYTES: usize = 20;
/// File size at which the next batch starts a new file, so that old files can be deleted after a snapshot.
const ROTATION_BYTES: u64 = 4 * 1024 * 1024;

value_types! {
    /// Body of a record.
    struct Record {
        /// Commit index when the batch was formed.
        commit_index: u64,
        entry: Entry,
    }
}

/// The log files of a data folder, oldest first.
#[derive(Debug)]
pub(crate) struct LogFiles {
    folder: PathBuf,
    files: Vec<LogFile>,
}

#[derive(Debug)]
struct LogFile {
    path: PathBuf,
    first_index: u64,
    /// Offset of each record.
    offsets: Vec<u64>,
    bytes: u64,
    /// Handle for appending, kept by the last file only.
    file: Option<File>,
}

impl LogFiles {
    /// Reads all log files and truncates a torn tail of the last one. Damage elsewhere and gaps are errors.
    pub(crate) fn open(folder: &Path) -> Result<(Self, Recovered), StorageError> {
        let mut paths = Vec::new();
        for dir_entry in with_path(folder, fs::read_dir(folder))? {
            let path = with_path(folder, dir_entry)?.path();
            if let Some(first_index) = parse_first_index(&path) {
                paths.push((first_index, path));
            }
        }
        paths.sort();
        let mut recovered = Recovered::default();
        let mut files = Vec::new();
        let count = paths.len();
        for (number, (first_index, path)) in paths.into_iter().enumerate() {
            let next = recovered.entries.last().map_or(first_index, |entry| entry.position.index + 1);
            if next != first_index {
                let reason = "entries between this file and the one before are missing";
                return Err(StorageError::Damaged { path, offset: 0, reason });
            }
            files.push(read_file(path, first_index, number + 1 == count, &mut recovered)?);
        }
        Ok((Self { folder: folder.to_owned(), files }, recovered))
    }

    /// Appends entries as one batch and syncs the file.
    pub(crate) fn append(&mut self, entries: &[Arc<Entry>], commit_index: u64) -> Result<(), StorageError> {
        let Some(first) = entries.first() else { return Ok(()) };
        if self.files.last().is_none_or(|file| file.bytes >= ROTATION_BYTES) {
            self.create_file(first.position.index)?;
        }
        let Some(last) = self.files.last_mut() else { return Ok(()) };
        last.append(entries, commit_index)
    }

    fn create_file(&mut self, first_index: u64) -> Result<(), StorageError> {
        let path = self.folder.join(format!("log-{first_index:020}"));
        let file = with_path(&path, File::create(&path))?;
        sync_folder(&self.folder)?;
        if let Some(previous) = self.files.last_mut() {
            previous.file = None;
        }
        self.files.push(LogFile { path, first_index, offsets: Vec::new(), bytes: 0, file: Some(file) });
        Ok(())
    }

    /// Removes the entries from `index` onwards. Synced before anything is appended, so that a crash cannot mix removed
    /// and new records.
    pub(crate) fn truncate_from(&mut self, index: u64) -> Result<(), StorageError> {
        while let Some(last) = self.files.pop_if(|file| file.first_index >= index) {
            with_path(&last.path, fs::remove_file(&last.path))?;
            sync_folder(&self.folder)?;
        }
        let Some(last) = self.files.last_mut() else { return Ok(()) };
        let keep = usize::try_from(index - last.first_index).unwrap_or(usize::MAX);
        if let Some(offset) = last.offsets.get(keep).copied() {
            last.truncate(offset)?;
            last.offsets.truncate(keep);
        }
        Ok(())
    }

    /// Deletes the files that hold only entries before `index`.
    pub(crate) fn drop_before(&mut self, index: u64) -> Result<(), StorageError> {
        while self.files.get(1).is_some_and(|next| next.first_index <= index) {
            let file = self.files.remove(0);
            with_path(&file.path, fs::remove_file(&file.path))?;
            // Oldest first, each deletion synced, so that a crash leaves no gap.
            sync_folder(&self.folder)?;
        }
        Ok(())
    }

    /// Removes what a failed append left behind the last entry that was synced.
    pub(crate) fn discard_unsynced(&mut self) -> Result<(), StorageError> {
        let Some(last) = self.files.last_mut() else { return Ok(()) };
        let stored = match fs::metadata(&last.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => 0,
            result => with_path(&last.path, result)?.len(),
        };
        if stored < last.bytes {
            let reason = "synced entries are missing at the end";
            return Err(StorageError::Damaged { path: last.path.clone(), offset: stored, reason });
        }
        last.truncate(last.bytes)
    }

    /// Deletes all entries.
    pub(crate) fn reset(&mut self) -> Result<(), StorageError> {
        self.truncate_from(0)
    }
}

impl LogFile {
    fn append(&mut self, entries: &[Arc<Entry>], commit_index: u64) -> Result<(), StorageError> {
        let mut bytes = Vec::new();
        for entry in entries {
            self.offsets.push(self.bytes + bytes.len() as u64);
            encode(entry, commit_index, self.bytes, &mut bytes).map_err(|reason| StorageError::Damaged {
                path: self.path.clone(),
                offset: self.bytes,
                reason,
            })?;
        }
        let file = self.open()?;
        let result = file.write_all(&bytes).and_then(|()| file.sync_data());
        with_path(&self.path, result)?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    fn open(&mut self) -> Result<&mut File, StorageError> {
        let file = if let Some(file) = self.file.take() {
            file
        } else {
            let mut file = with_path(&self.path, OpenOptions::new().write(true).open(&self.path))?;
            with_path(&self.path, file.seek(SeekFrom::Start(self.bytes)))?;
            file
        };
        Ok(self.file.insert(file))
    }

    fn truncate(&mut self, offset: u64) -> Result<(), StorageError> {
        self.bytes = offset;
        self.file = None;
        let file = self.open()?;
        let result = file.set_len(offset).and_then(|()| file.sync_all());
        with_path(&self.path, result)
    }
}

fn encode(
    entry: &Arc<Entry>,
    commit_index: u64,
    batch_start: u64,
    out: &mut Vec<u8>,
) -> Result<(), &'static str> {
    let record = Record { commit_index, entry: Entry::clone(entry) };
    let body = postcard::to_stdvec(&record).map_err(|_| "the entry cannot be encoded")?;
    let length = u32::try_from(body.len()).map_err(|_| "the entry is too large")?;
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&checksum(batch_start, &body).to_le_bytes());
    out.extend_from_slice(&batch_start.to_le_bytes());
    out.extend_from_slice(&body);
    Ok(())
}

fn checksum(batch_start: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&batch_start.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

struct Decoded {
    record: Record,
    batch_start: u64,
    /// Size of the record with its header.
    bytes: usize,
}

fn decode(bytes: &[u8]) -> Result<Decoded, &'static str> {
    let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or("the record header is truncated")?;
    let field = |start: usize| {
        u32::from_le_bytes([header[start], header[start + 1], header[start + 2], header[start + 3]])
    };
    if header[..4] != MAGIC {
        return Err("the record has no magic number");
    }
    let length = field(4) as usize;
    let batch_start = u64::from(field(12)) | u64::from(field(16)) << 32;
    let body = rest.get(..length).ok_or("the record is truncated")?;
    if checksum(batch_start, body) != field(8) {
        return Err("the checksum does not match");
    }
    let record = postcard::from_bytes(body).map_err(|_| "the content cannot be decoded")?;
    Ok(Decoded { record, batch_start, bytes: HEADER_BYTES + length })
}

fn parse_first_index(path: &Path) -> Option<u64> {
    path.file_name()?.to_str()?.strip_prefix("log-")?.parse().ok()
}

fn read_file(
    path: PathBuf,
    first_index: u64,
    is_last: bool,
    recovered: &mut Recovered,
) -> Result<LogFile, StorageError> {
    let bytes = with_path(&path, fs::read(&path))?;
    let mut log_file = LogFile { path, first_index, offsets: Vec::new(), bytes: 0, file: None };
    let mut offset = 0;
    while offset < bytes.len() {
        let reason = match decode(&bytes[offset..]) {
            Ok(decoded)
                if decoded.record.entry.position.index == first_index + log_file.offsets.len() as u64 =>
            {
                log_file.offsets.push(offset as u64);
                recovered.commit_index = recovered.commit_index.max(decoded.record.commit_index);
                recovered.entries.push(Arc::new(decoded.record.entry));
                offset += decoded.bytes;
                continue;
            }
            Ok(_) => "the entry has an unexpected index",
            Err(reason) => reason,
        };
        if !is_last || !is_torn(&bytes, offset) {
            return Err(StorageError::Damaged { path: log_file.path, offset: offset as u64, reason });
        }
        recovered.truncated_bytes = (bytes.len() - offset) as u64;
        log_file.truncate(offset as u64)?;
        break;
    }
    log_file.bytes = offset as u64;
    Ok(log_file)
}

/// Returns whether the bytes from `offset` onwards can result from an interrupted write. The pages of an unsynced batch
/// may reach the disk in any order, so intact records may follow the damage, but only records of the same batch.
fn is_torn(bytes: &[u8], offset: usize) -> bool {
    let after = (offset + 1..bytes.len()).filter(|start| bytes[*start..].starts_with(&MAGIC));
    after.filter_map(|start| decode(&bytes[start..]).ok()).all(|later| later.batch_start <= offset as u64)
}
