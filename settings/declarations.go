package settings

import (
	"github.com/slatebridge/slatebridge"
)

// Declarations are the templates, client accounts and instances that an operator keeps under
// version control and publishes.
type Declarations struct {
	Template []slatebridge.Template `toml:"template"`
	Account  []slatebridge.Account  `toml:"account"`
	Instance []slatebridge.Instance `toml:"instance"`
}

// LoadDeclarations reads and validates a file of declarations. References to other objects are
// validated later, when the records are applied.
func LoadDeclarations(file string) (Declarations, error) {
	return load(file, Declarations{})
}

func (d Declarations) problems() []Problem {
	var c checker
	for _, t := range d.Template {
		c.notEmpty("template", t.Name)
	}
	for _, a := range d.Account {
		c.notEmpty("account", a.Name)
	}
	for _, i := range d.Instance {
		c.notEmpty("instance", i.Name)
		c.notEmpty("instance", i.Account)
	}

	return c.problems
}
