package saver

import (
	"io/fs"
	"os"
)

// Files holds the file operations that change or read a data folder. OS returns those of the operating system; tests
// replace them to let one fail.
type Files struct {
	Stat     func(path string) (fs.FileInfo, error)
	Read     func(path string) ([]byte, error)
	Open     func(path string, flag int) (*os.File, error)
	WriteAt  func(f *os.File, data []byte, offset int64) error
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Close    func(f *os.File) error
	Rename   func(from, to string) error
	Mkdir    func(path string) error
}

// OS returns the file operations of the operating system. New files and folders are accessible to their owner only.
func OS() Files {
	return Files{
		Stat: os.Stat,
		Read: os.ReadFile,
		Open: func(path string, flag int) (*os.File, error) { return os.OpenFile(path, flag, 0o600) },
		WriteAt: func(f *os.File, data []byte, offset int64) error {
			_, err := f.WriteAt(data, offset)
			return err
		},
		Sync:     (*os.File).Sync,
		Truncate: (*os.File).Truncate,
		Close:    (*os.File).Close,
		Rename:   os.Rename,
		Mkdir:    func(path string) error { return os.Mkdir(path, 0o700) },
	}
}
