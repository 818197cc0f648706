package main

import "wigeonshift/internal/modules/wigeonsetting"

// checkCommand validates a settings file.
type checkCommand struct {
	Config string `short:"c" required:"" type:"path" env:"WIGEONSHIFT_CONFIG" help:"Settings file."`
}

// Run returns an error that lists every invalid setting with its key and position.
func (c *checkCommand) Run() error {
	_, err := wigeonsetting.LoadRelay(c.Config)
	return err
}
