package deployment

import (
	_ "embed" // embeds the settings template
	"fmt"
	"os"
	"path/filepath"
	"text/template"

	"alderdyke/internal/settings"
)

// File modes of the directory and the files written for VMs.
const (
	directoryMode = 0o755
	fileMode      = 0o600
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// templateData is the data from which the settings file of one VM is generated.
type templateData struct {
	settings.Settings
	PeerSecret, OperatorToken, LogToken, ListToken, BackendToken string
}

// WriteSettings writes the settings of VMs to a directory, each to a file
// named after the VM's ID, and the operator token to a file beside them, so
// that the VMs can run as processes of their own. It returns the names of the
// settings files.
func WriteSettings(dir string, sets []settings.Settings) ([]string, error) {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return nil, fmt.Errorf("create the directory of the settings: %w", err)
	}
	token := filepath.Join(dir, "operator.token")
	if err := os.WriteFile(token, []byte(OperatorToken+"\n"), fileMode); err != nil {
		return nil, fmt.Errorf("write the operator token: %w", err)
	}
	var names []string
	for _, set := range sets {
		name := filepath.Join(dir, set.ID+".toml")
		if err := writeVMSettings(name, set); err != nil {
			return nil, fmt.Errorf("write the settings of %s: %w", set.ID, err)
		}
		names = append(names, name)
	}
	return names, nil
}

func writeVMSettings(name string, set settings.Settings) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	defer file.Close()
	return settingsTemplate.Execute(file, templateData{
		Settings:      set,
		PeerSecret:    PeerSecret,
		OperatorToken: OperatorToken,
		LogToken:      LogToken,
		ListToken:     ListToken,
		BackendToken:  BackendToken,
	})
}
