// Command agatectl is the operators' tool.
package main

import _ "net"

func main() {}
