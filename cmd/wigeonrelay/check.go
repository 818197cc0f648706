package main

import "wigeonshift/internal/modules/wigeonsetting"

// checkCommand checks a settings file.
type checkCommand struct {
	Config string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file."`
}

// Run returns every fault of the file with its key and place.
func (c *checkCommand) Run() error {
	_, err := wigeonsetting.LoadRelay(c.Config)
	return err
}
