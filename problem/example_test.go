package problem_test

import (
	"fmt"

	"github.com/kumquathoist/kumquathoist/problem"
)

// All problems of a file are reported together.
func ExampleDecode() {
	var pool struct {
		Name  string `yaml:"Name"`
		Ports []int  `yaml:"Ports"`
	}
	_, problems := problem.Decode([]byte("Name: 7\nPorts: [1, two]\nColour: red\n"), &pool)
	fmt.Println(problems.Error())
	// Output:
	// 1:7: Name: expected text, got a number
	// 2:12: Ports[1]: expected a whole number, got text
	// 3:1: Colour: unknown key
}
