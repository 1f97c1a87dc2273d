package settings

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"alderdyke/pkg/place"
)

// Size limits of files, in bytes.
const (
	maxFileBytes       = 256 << 10
	maxSecretFileBytes = 4 << 10
)

type (
	// fileReader reads a whole file of at most maxBytes.
	fileReader func(path string, maxBytes int64) ([]byte, error)

	// secretSource is a secret that is set by its key or by a file.
	secretSource struct {
		key      string // such as Peer.Secret
		secret   *Secret
		file     string
		required bool
	}
)

// Load reads the settings of one VM and the files that contain its secrets. The
// paths of these files are relative to the settings file. The error is a
// [place.Errors] with all problems.
func Load(path string) (Settings, error) { return load(path, readFile) }

// load is [Load] with the given way to read files.
func load(path string, read fileReader) (Settings, error) {
	text, err := read(path, maxFileBytes)
	if err != nil {
		return Settings{}, place.Errors{{File: path, Mend: "give a file that can be read: " + err.Error()}}
	}
	set := Default()
	check := func() place.Errors {
		set = set.withAdvertiseDefaults()
		es := set.readSecrets(filepath.Dir(path), read)
		return append(es, set.problems()...)
	}
	if err := place.Decode(path, text, &set, check); err != nil {
		return Settings{}, err
	}
	return set, nil
}

func (set *Settings) secretSources() []secretSource {
	return []secretSource{
		{"Peer.Secret", &set.Peer.Secret, set.Peer.SecretFile, true},
		{"Operator.Token", &set.Operator.Token, set.Operator.TokenFile, true},
		{"Log.Token", &set.Log.Token, set.Log.TokenFile, false},
		{"VMList.Token", &set.VMList.Token, set.VMList.TokenFile, false},
		{"Backends.Token", &set.Backends.Token, set.Backends.TokenFile, false},
	}
}

// readSecrets reads the secrets that are stored in files. A secret that is also set by
// its key is a problem.
func (set *Settings) readSecrets(dir string, read fileReader) place.Errors {
	var es place.Errors
	for _, src := range set.secretSources() {
		if src.file == "" {
			continue
		}
		if !src.secret.IsZero() {
			es.Add(src.key+"File", src.file, "remove it, or remove "+src.key+"; only one may be set")
			continue
		}
		if err := src.read(dir, read); err != nil {
			es.Add(src.key+"File", src.file, err.Error())
		}
	}
	return es
}

func (src secretSource) read(dir string, read fileReader) error {
	path := src.file
	if !filepath.IsAbs(path) {
		path = filepath.Join(dir, path)
	}
	text, err := read(path, maxSecretFileBytes)
	if err != nil {
		return fmt.Errorf("name a file that can be read: %w", err)
	}
	if err := src.secret.UnmarshalText([]byte(strings.TrimSpace(string(text)))); err != nil {
		return fmt.Errorf("put another secret into this file: %w", err)
	}
	return nil
}

func readFile(path string, maxBytes int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("open: %w", err)
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if int64(len(text)) > maxBytes {
		return nil, fmt.Errorf("the file holds more than %d bytes", maxBytes)
	}
	return text, nil
}
