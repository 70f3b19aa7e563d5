// Command hostlist runs the stand-in for the platform's host list.
package main

import (
	"agatepulley.example/agatepulley/standin/hostlist"
	"agatepulley.example/agatepulley/standin/program"
)

func main() {
	program.Main("hostlist", "127.0.0.1:7601", hostlist.New().Handler())
}
