package settings

import (
	"github.com/slatebridge/slatebridge"
)

// Controller holds the settings of slatebridge-controller.
type Controller struct {
	Box      slatebridge.BoxID  `toml:"box"`
	Hall     slatebridge.HallID `toml:"hall"`
	Listen   ControllerListen   `toml:"listen"`
	Platform ControllerPlatform `toml:"platform"`
	Logging  Logging            `toml:"logging"`
}

// ControllerListen holds the listen addresses of a controller.
type ControllerListen struct {
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// ControllerPlatform holds the base URLs of the platform's log and of its list of boxes and
// servers.
type ControllerPlatform struct {
	LogURL        string `toml:"log"`
	MembershipURL string `toml:"list"`
}

// LoadController reads and validates the settings of slatebridge-controller.
func LoadController(file string) (Controller, error) {
	return load(file, Controller{Logging: Logging{Level: "info"}})
}

func (s Controller) problems() []Problem {
	var c checker
	c.notEmpty("box", string(s.Box))
	c.notEmpty("hall", string(s.Hall))
	c.listenAddress("listen.peers", s.Listen.Peers)
	c.listenAddress("listen.operators", s.Listen.Operators)
	c.distinctAddresses(listener{"listen.peers", s.Listen.Peers}, listener{"listen.operators", s.Listen.Operators})
	c.baseURL("platform.log", s.Platform.LogURL)
	c.baseURL("platform.list", s.Platform.MembershipURL)
	s.Logging.check(&c)

	return c.problems
}
