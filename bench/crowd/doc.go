// Package crowd plays clients that do not keep to the limits against real node processes and checks that each process lives, stays
// within its memory and descriptors, and answers an ordinary request afterwards. Its tests check nothing that depends on the speed
// of the machine. They must not run beside other load.
package crowd
