// Command configservice runs the stand-in for the platform's configuration service.
package main

import (
	"agatepulley.example/agatepulley/standin/configservice"
	"agatepulley.example/agatepulley/standin/program"
)

func main() {
	program.Main("configservice", "127.0.0.1:7600", configservice.New().Handler())
}
