package problem_test

import (
	"fmt"

	"github.com/kumquathoist/kumquathoist/problem"
)

// Every problem of a file is found at once.
func ExampleDecode() {
	var pool struct {
		Name  string `yaml:"Name"`
		Ports []int  `yaml:"Ports"`
	}
	_, problems := problem.Decode([]byte("Name: 7\nPorts: [1, two]\nColour: red\n"), &pool)
	fmt.Println(problems.Error())
	// Output:
	// 1:7: Name: wants text, has a number
	// 2:12: Ports[1]: wants a whole number, has text
	// 3:1: Colour: unknown key
}
