// Package wigeondev runs a small development site in one process. It consists of stand-ins for the platform, for model
// engines of different speeds and for plain services, and stores a configuration that names them.
package wigeondev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplain"
	"wigeonshift/internal/standin/wigeonplatform"

	"github.com/samber/oops"
)

// Names of the site's configuration.
const (
	Product      = "dev"
	Region       = "local"
	Organisation = "loft"
	Model        = wigeonengine.DefaultModel
	// CallerKey is the API key that callers of the site send.
	CallerKey = "dev.heron"
)

// Numbers of stand-ins in the site.
const (
	engineCount  = 4
	serviceCount = 2
)

// plainLatency is the duration of each call to a plain service.
const plainLatency = 5 * time.Millisecond

// Site is a running set of stand-ins.
type Site struct {
	Core     *wigeonplatform.Core
	platform *wigeonplatform.Server
	Engines  []*wigeonengine.Engine
	Services []*wigeonplain.Service
}

// Start runs the stand-ins on free loopback ports and stores the first configuration.
func Start(ctx context.Context) (*Site, error) {
	s := &Site{Core: wigeonplatform.NewCore(wigeonplatform.WithListLag(time.Second))}
	if err := s.start(ctx); err != nil {
		return nil, errors.Join(err, s.Stop(ctx))
	}
	return s, nil
}

// PlatformAddress returns the address of the platform's services.
func (s *Site) PlatformAddress() string {
	return s.platform.Address()
}

// Stop stops all stand-ins and returns their errors.
func (s *Site) Stop(ctx context.Context) error {
	var errs []error
	for _, e := range s.Engines {
		errs = append(errs, e.Stop(ctx))
	}
	for _, p := range s.Services {
		errs = append(errs, p.Stop(ctx))
	}
	if s.platform != nil {
		errs = append(errs, s.platform.Stop(ctx))
	}
	return errors.Join(errs...)
}

// start starts the stand-ins one after the other and stores the configuration.
func (s *Site) start(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return oops.In("dev").Wrap(err)
	}
	s.platform = wigeonplatform.NewServer(s.Core, l)
	if err := s.platform.Start(ctx); err != nil {
		return err
	}
	for i := range engineCount {
		e := wigeonengine.New("127.0.0.1:0", wigeonengine.WithSpeed(engineSpeed(i)), wigeonengine.WithSeed(uint64(i)))
		if err := e.Start(ctx); err != nil {
			return err
		}
		s.Engines = append(s.Engines, e)
	}
	for range serviceCount {
		p := wigeonplain.New("127.0.0.1:0", wigeonplain.WithLatency(plainLatency))
		if err := p.Start(ctx); err != nil {
			return err
		}
		s.Services = append(s.Services, p)
	}
	return s.storeConfiguration(ctx)
}

// engineSpeed returns the speed of the engine with index i. Each engine is slower than the one before it, as with older
// generations of hardware.
func engineSpeed(i int) wigeonengine.Speed {
	speed := wigeonengine.DefaultSpeed
	speed.PrefillTokensPerSecond /= float64(i + 1)
	speed.DecodeStep *= time.Duration(i + 1)
	return speed
}

// storeConfiguration submits the patch that creates the site's configuration.
func (s *Site) storeConfiguration(ctx context.Context) error {
	patch, err := s.configurationPatch()
	if err != nil {
		return err
	}
	repository := wigeonconfig.NewRepository(s.Core, s.Core)
	_, _, err = repository.Submit(ctx, wigeonconfig.Patch{ID: "dev-site", Author: "dev", Document: patch})
	if err != nil {
		return fmt.Errorf("store the first configuration: %w", err)
	}
	return nil
}
