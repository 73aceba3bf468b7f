package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"

	"quillrail/internal/transient"
)

// readFor is how long a file is tried to be read while the machine lacks something for it.
const readFor = 5 * time.Second

// ReadText reads a file whole. It is for those that a process cannot do without: it waits while the system has no descriptor.
func ReadText(path string) (text []byte, err error) {
	err = transient.Retry(readFor, func() (err error) {
		text, err = os.ReadFile(path)
		return err
	})
	return text, err
}

// ReadFile reads an optional TOML file of the project's own. One that does not exist turns off what it would configure.
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

// DecodeTOML decodes a text that may hold no other keys than into has.
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
