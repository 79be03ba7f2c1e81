package settings

// Operator holds the settings of the slatebridge command.
type Operator struct {
	// Name is the author of the records that the operator publishes.
	Name string `toml:"name"`
	// Controllers are the base URLs of the controllers' listeners for operators.
	Controllers []string    `toml:"controllers"`
	Platform    PlatformLog `toml:"platform"`
}

// LoadOperator reads and validates the settings of the slatebridge command.
func LoadOperator(file string) (Operator, error) {
	return load(file, Operator{})
}

func (s Operator) problems() []Problem {
	var c checker
	c.notEmpty("name", s.Name)
	c.baseURLs("controllers", s.Controllers)
	c.baseURL("platform.log", s.Platform.LogURL)

	return c.problems
}
