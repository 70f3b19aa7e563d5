package processes_test

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"agatepulley.example/agatepulley/bench/processes"
)

const printPortsEnv = "AGATEPULLEY_TEST_PRINT_PORTS"

// Guards against fleets of test processes that run at the same time and are given the same ports.
func TestProcessesAreGivenDifferentPorts(t *testing.T) {
	const count = 1000
	g := gomega.NewWithT(t)
	ports, err := processes.FreePorts(count)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	if os.Getenv(printPortsEnv) != "" {
		fmt.Println(ports)
		return
	}
	other := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	other.Env = append(os.Environ(), printPortsEnv+"=1")
	printed, err := other.Output()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	others := strings.Fields(strings.Trim(strings.SplitN(string(printed), "\n", 2)[0], "[]"))
	g.Expect(others).To(gomega.HaveLen(count))
	for _, port := range ports {
		g.Expect(slices.Contains(others, fmt.Sprint(port))).To(gomega.BeFalse(), "port %d is given twice", port)
	}
}
