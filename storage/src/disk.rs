//! The file operations that the journal needs ([`Disk`], [`DiskFile`]), and their implementation on the file system.
//!
//! The journal uses a fixed set of file names and no rename or removal.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder of files.
pub trait Disk: Send {
    /// Opens the file `name` for reading and writing; creates an empty file if it does not exist.
    ///
    /// # Errors
    /// The file can't be opened or created.
    fn open(&mut self, name: &'static str) -> io::Result<Box<dyn DiskFile>>;
}

/// An open file. Written bytes are durable only after the next successful [`DiskFile::sync`].
pub trait DiskFile: Send {
    /// Current length in bytes.
    ///
    /// # Errors
    /// The file's metadata can't be read.
    fn length(&mut self) -> io::Result<u64>;
    /// Reads up to `buffer.len()` bytes at `offset`; returns their number, 0 at the end of the file.
    ///
    /// # Errors
    /// The read failed.
    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize>;
    /// Writes all of `bytes` at `offset`.
    ///
    /// # Errors
    /// The write failed; any part of `bytes` may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Truncates the file, or extends it with zeros.
    ///
    /// # Errors
    /// The length can't be changed.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Makes all bytes written so far durable.
    ///
    /// # Errors
    /// The sync failed; the bytes written since the last successful sync may or may not be durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// Size of the chunks in which files are read.
const READ_CHUNK_BYTES: usize = 256 * 1024;

/// Reads `length` bytes from `offset` in chunks and passes each chunk to `take`; `false` if the file ends before.
pub(crate) fn read_chunks(
    file: &mut dyn DiskFile,
    offset: u64,
    length: u64,
    mut take: impl FnMut(&[u8]),
) -> io::Result<bool> {
    let mut buffer =
        vec![0; READ_CHUNK_BYTES.min(usize::try_from(length).unwrap_or(READ_CHUNK_BYTES))];
    let mut done = 0;
    while done < length {
        let wanted =
            usize::try_from(length - done).map_or(buffer.len(), |left| left.min(buffer.len()));
        let count = file.read_at(offset + done, buffer.get_mut(..wanted).unwrap_or_default())?;
        if count == 0 {
            return Ok(false);
        }
        take(buffer.get(..count).unwrap_or_default());
        done += count as u64;
    }
    Ok(true)
}

/// A folder of the file system.
pub struct FolderDisk {
    folder: PathBuf,
}

impl FolderDisk {
    /// The disk in `folder`, which is created if it does not exist.
    ///
    /// # Errors
    /// The folder can't be created.
    pub fn new(folder: &Path) -> io::Result<FolderDisk> {
        std::fs::create_dir_all(folder)?;
        Ok(FolderDisk {
            folder: folder.to_path_buf(),
        })
    }

    /// Opens `name` for reading, without creating it; `None` if it does not exist.
    pub(crate) fn open_to_read(folder: &Path, name: &str) -> io::Result<Option<FolderFile>> {
        match File::open(folder.join(name)) {
            Ok(file) => Ok(Some(FolderFile {
                file,
                position: None,
            })),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }
}

impl Disk for FolderDisk {
    fn open(&mut self, name: &'static str) -> io::Result<Box<dyn DiskFile>> {
        let path = self.folder.join(name);
        let is_new = !path.exists();
        let file = OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        if is_new {
            File::open(&self.folder)?.sync_all()?;
        }
        Ok(Box::new(FolderFile {
            file,
            position: None,
        }))
    }
}

/// A file of a [`FolderDisk`].
pub(crate) struct FolderFile {
    file: File,
    /// The file position of the operating system, if known: saves the seek before sequential operations.
    position: Option<u64>,
}

impl FolderFile {
    fn seek(&mut self, offset: u64) -> io::Result<()> {
        if self.position != Some(offset) {
            self.position = None;
            self.file.seek(SeekFrom::Start(offset))?;
            self.position = Some(offset);
        }
        Ok(())
    }
}

impl DiskFile for FolderFile {
    fn length(&mut self) -> io::Result<u64> {
        Ok(self.file.metadata()?.len())
    }

    fn read_at(&mut self, offset: u64, buffer: &mut [u8]) -> io::Result<usize> {
        self.seek(offset)?;
        self.position = None;
        let count = loop {
            match self.file.read(buffer) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other?,
            }
        };
        self.position = Some(offset + count as u64);
        Ok(count)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(offset)?;
        self.position = None;
        self.file.write_all(bytes)?;
        self.position = Some(offset + bytes.len() as u64);
        Ok(())
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
}
