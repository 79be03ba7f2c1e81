package settings

import (
	"github.com/slatebridge/slatebridge"
)

// Declarations are the templates, client accounts and instances that an
// operator keeps in version control and publishes.
type Declarations struct {
	Template []slatebridge.Template `toml:"template"`
	Account  []slatebridge.Account  `toml:"account"`
	Instance []slatebridge.Instance `toml:"instance"`
}

// LoadDeclarations reads and checks a file of declarations. What depends on
// other objects is checked when the records are folded.
func LoadDeclarations(file string) (Declarations, error) {
	return load(file, Declarations{})
}

func (d Declarations) problems() []Problem {
	var c checker
	for _, t := range d.Template {
		c.name("template", t.Name)
	}
	for _, a := range d.Account {
		c.name("account", a.Name)
	}
	for _, i := range d.Instance {
		c.name("instance", i.Name)
		c.name("instance", i.Account)
	}

	return c.found
}
