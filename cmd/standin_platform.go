package cmd

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"wigeonshift"
	"wigeonshift/internal/standin/wigeonplatform"

	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
)

const platformStopTimeout = 5 * time.Second

// StandinPlatformCommand runs the stand-in for the platform's services as a separate process.
type StandinPlatformCommand struct {
	Address    string        `default:"127.0.0.1:7400" help:"IP address and port to listen on."`
	ListLag    time.Duration `default:"3s" help:"Delay until the instance list shows a change."`
	WeightSlot time.Duration `default:"2s" help:"Interval between two load slots of the weight store."`
	Seed       uint64        `default:"1" help:"Seed for the random choice of calls that a fault affects."`
	Instances  string        `type:"existingfile" help:"TOML file with the [[instances]] that the instance list contains at start."`
	TLSCert    string        `type:"existingfile" help:"Certificate file; enables TLS."`
	TLSKey     string        `type:"existingfile" help:"Private key file of the certificate."`
}

// Run serves until a signal ends the context.
func (c *StandinPlatformCommand) Run(ctx context.Context, s Streams) error {
	instances, err := c.readInstances()
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(s.Err)
	options := []wigeonplatform.ServerOption{wigeonplatform.WithLogger(log)}
	if c.TLSCert != "" {
		certificate, err := tls.LoadX509KeyPair(c.TLSCert, c.TLSKey)
		if err != nil {
			return errors.Join(errUsage, err)
		}
		tlsConfig := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}
		options = append(options, wigeonplatform.WithTLS(tlsConfig))
	}
	l, err := net.Listen("tcp", c.Address)
	if err != nil {
		return fmt.Errorf("listen on --address: %w", err)
	}
	core := wigeonplatform.NewCore(wigeonplatform.WithListLag(c.ListLag), wigeonplatform.WithWeightSlot(c.WeightSlot),
		wigeonplatform.WithSeed(c.Seed), wigeonplatform.WithInstances(instances...))
	server := wigeonplatform.NewServer(core, l, options...)
	if err := server.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "stand-in platform listening on %s\n", server.Address())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), platformStopTimeout)
	defer cancel()
	return server.Stop(stopCtx)
}

// readInstances reads the initial instance list. Instances without a state are live.
func (c *StandinPlatformCommand) readInstances() ([]wigeonshift.Instance, error) {
	if c.Instances == "" {
		return nil, nil
	}
	f, err := os.Open(c.Instances)
	if err != nil {
		return nil, errors.Join(errUsage, err)
	}
	defer f.Close()
	var file struct {
		Instances []struct {
			ID, Address, Zone, Region string
			State                     wigeonshift.InstanceState
		}
	}
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errUsage, c.Instances, err)
	}
	var instances []wigeonshift.Instance
	for _, i := range file.Instances {
		if i.State == "" {
			i.State = wigeonshift.InstanceLive
		}
		instances = append(instances, wigeonshift.Instance{ID: i.ID, Address: i.Address, Zone: i.Zone, Region: i.Region, State: i.State})
	}
	return instances, nil
}
