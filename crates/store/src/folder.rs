//! File operations of a data folder.

use std::collections::{HashMap, HashSet};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::{Result, StoreError};

/// Name of a file in the data folder.
pub type FileName = &'static str;

/// File that is locked while the folder is in use.
const LOCK_FILE: FileName = "lock";

/// A flat folder of files. The content of a file is durable after [`Self::sync`]; the name of a new
/// or renamed file is durable after [`Self::sync_folder`].
pub trait DataFolder {
    /// Reads a whole file; `None` when it does not exist.
    ///
    /// # Errors
    /// The error of the file system.
    fn read(&mut self, name: FileName) -> io::Result<Option<Vec<u8>>>;
    /// Creates a file with these bytes; replaces an existing one.
    ///
    /// # Errors
    /// The error of the file system.
    fn create(&mut self, name: FileName, bytes: &[u8]) -> io::Result<()>;
    /// Appends bytes to a file.
    ///
    /// # Errors
    /// The error of the file system; some of the bytes may have been written.
    fn append(&mut self, name: FileName, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to a length.
    ///
    /// # Errors
    /// The error of the file system.
    fn truncate(&mut self, name: FileName, length: u64) -> io::Result<()>;
    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// The error of the file system; the content on disk is unknown then.
    fn sync(&mut self, name: FileName) -> io::Result<()>;
    /// Renames a file; replaces an existing file of that name.
    ///
    /// # Errors
    /// The error of the file system.
    fn rename(&mut self, from: FileName, to: FileName) -> io::Result<()>;
    /// Makes the names of the files durable.
    ///
    /// # Errors
    /// The error of the file system.
    fn sync_folder(&mut self) -> io::Result<()>;
}

/// A data folder on a disk, locked against other processes until this value is dropped.
pub struct DiskFolder {
    path: PathBuf,
    /// Kept open, so that the next sync reports a failed writeback.
    files: HashMap<FileName, File>,
    /// Files whose last sync failed. One of the same name replaces them, so that it does not inherit
    /// their unknown state.
    unsynced: HashSet<FileName>,
    /// `None` for files beside those of the value that holds the lock.
    _lock: Option<File>,
}

impl DiskFolder {
    /// Opens a folder for other files than those of the value that has locked it, without the lock.
    ///
    /// # Errors
    /// The error of the file system.
    pub fn open_beside(path: &Path) -> Result<Self> {
        fs::create_dir_all(path)?;
        Ok(Self {
            path: path.to_owned(),
            files: HashMap::new(),
            unsynced: HashSet::new(),
            _lock: None,
        })
    }

    /// Opens a folder, creating it if it does not exist.
    ///
    /// # Errors
    /// [`StoreError::Locked`] when another process has it open.
    pub fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path)?;
        let lock = File::create(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked),
            Err(TryLockError::Error(error)) => return Err(error.into()),
        }
        if let Some(parent) = path.parent().filter(|parent| parent.exists()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self {
            path: path.to_owned(),
            files: HashMap::new(),
            unsynced: HashSet::new(),
            _lock: Some(lock),
        })
    }

    fn file(&mut self, name: FileName) -> io::Result<&mut File> {
        if !self.files.contains_key(name) {
            let file = OpenOptions::new().append(true).open(self.path.join(name))?;
            self.files.insert(name, file);
        }
        self.files
            .get_mut(name)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl DataFolder for DiskFolder {
    fn read(&mut self, name: FileName) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn create(&mut self, name: FileName, bytes: &[u8]) -> io::Result<()> {
        self.files.remove(name);
        let path = self.path.join(name);
        if self.unsynced.remove(name) {
            // If this is refused, the file is emptied and written anew.
            let _ = fs::remove_file(&path);
        }
        let mut file = File::create(path)?;
        file.write_all(bytes)?;
        drop(file);
        self.file(name).map(|_| ())
    }

    fn append(&mut self, name: FileName, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: FileName, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: FileName) -> io::Result<()> {
        let synced = self.file(name)?.sync_all();
        if synced.is_err() {
            self.unsynced.insert(name);
        }
        synced
    }

    fn rename(&mut self, from: FileName, to: FileName) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        self.files.remove(to);
        if let Some(file) = self.files.remove(from) {
            self.files.insert(to, file);
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
