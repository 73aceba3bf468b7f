package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"quillrail/internal/transient"
)

// readTimeout limits the retries of a read that fails because the machine lacks something for the moment, such as file descriptors.
const readTimeout = 5 * time.Second

// ReadText reads a whole file. It is meant for files that a process can't run without: transient errors, such as a lack of file
// descriptors, are retried for readTimeout.
func ReadText(path string) (text []byte, err error) {
	err = transient.Retry(readTimeout, func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}

// ReadFile reads one of the project's optional TOML files. A file that doesn't exist gives a zero T, which turns off what the file
// configures.
func ReadFile[T any](path string, parse func(text string) (*T, error)) (*T, error) {
	text, err := ReadText(path)
	if os.IsNotExist(err) {
		return new(T), nil
	}
	if err != nil {
		return nil, err
	}
	value, err := parse(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

// DecodeTOML decodes a TOML text into a struct. A key that the struct doesn't have is an error.
func DecodeTOML(text string, into any) error {
	meta, err := toml.Decode(text, into)
	if err != nil {
		return err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return fmt.Errorf("unknown key %s", unknown[0])
	}
	return nil
}
