package demo

import (
	"context"
	_ "embed" // for the template of the settings
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/template"

	"alderdyke/internal/settings"
	"alderdyke/internal/standin/deployment"
)

// Modes of what is written for the VMs.
const (
	folderMode = 0o755
	fileMode   = 0o600
)

//go:embed settings.tmpl
var settingsText string

var settingsTemplate = template.Must(template.New("settings").Parse(settingsText))

// stagedVM is what the settings file of one VM is made of.
type stagedVM struct {
	settings.Settings
	PeerSecret, OperatorToken, LogToken, ListToken, BackendToken string
}

// stage writes the settings of the VMs into the folder and keeps the
// stand-ins up until the context ends, so that the VMs can be run, and
// killed, by hand.
func (fl *fleet) stage(ctx context.Context, dir string, out io.Writer) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return fmt.Errorf("make the folder of the settings: %w", err)
	}
	token := filepath.Join(dir, "operator.token")
	if err := os.WriteFile(token, []byte(deployment.OperatorToken+"\n"), fileMode); err != nil {
		return fmt.Errorf("write the operators' token: %w", err)
	}
	for _, set := range fl.sets {
		if err := stageVM(dir, set); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "stand-ins serve; the settings of %d VMs are in %s\n", len(fl.sets), dir)
	for _, set := range fl.sets {
		fmt.Fprintf(out, "  alderdyke run %s   # callers %s, operators %s\n",
			filepath.Join(dir, set.ID+".toml"), set.Caller.Listen, set.Operator.Listen)
	}
	<-ctx.Done()
	return nil
}

func stageVM(dir string, set settings.Settings) error {
	name := filepath.Join(dir, set.ID+".toml")
	file, err := os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("write the settings of %s: %w", set.ID, err)
	}
	defer file.Close()
	err = settingsTemplate.Execute(file, stagedVM{
		Settings:      set,
		PeerSecret:    deployment.PeerSecret,
		OperatorToken: deployment.OperatorToken,
		LogToken:      deployment.LogToken,
		ListToken:     deployment.ListToken,
		BackendToken:  deployment.BackendToken,
	})
	if err != nil {
		return fmt.Errorf("write the settings of %s: %w", set.ID, err)
	}
	return nil
}
