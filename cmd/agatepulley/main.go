// Command agatepulley runs one node of the fleet beside a backend server.
package main

import _ "net"

func main() {}
