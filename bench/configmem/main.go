// Command configmem measures the memory and the processor time that a configuration document costs a node, at several
// sizes, and derives the heap bytes per route, endpoint and workspace.
package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"agatepulley.example/agatepulley/pkg/config"
	"agatepulley.example/agatepulley/pkg/configstore"
)

type options struct {
	Repeat int    `long:"repeat" description:"number of runs of each timed step; the shortest counts" default:"3"`
	Peak   string `long:"peak" description:"measure the largest resident size while versions are adopted in this way" choice:"delta" choice:"text"`
}

// size is the number of entries of a document.
type size struct {
	hosts, services, endpoints, routes, workspaces int
}

// fullSize is the design scale.
var fullSize = size{hosts: 4200, services: 2700, endpoints: 52_000, routes: 46_000, workspaces: 320_000}

func (s size) scaled(divisor int) size {
	return size{
		hosts:      s.hosts / divisor,
		services:   s.services / divisor,
		endpoints:  s.endpoints / divisor,
		routes:     s.routes / divisor,
		workspaces: s.workspaces / divisor,
	}
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "configmem:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	if o.Peak != "" {
		return printPeak(o.Peak)
	}
	fmt.Printf("%s %s/%s, %d processors\n\n", runtime.Version(), runtime.GOOS, runtime.GOARCH, runtime.NumCPU())
	if err := printSlopes(); err != nil {
		return err
	}
	fmt.Println()
	if err := printWhole(o); err != nil {
		return err
	}
	fmt.Println()
	return printTransfer(o)
}

// printSlopes varies one kind of entry at a time and prints the heap bytes per entry of that kind.
func printSlopes() error {
	base := size{hosts: 100, services: 100, endpoints: 1000, routes: 1000, workspaces: 1000}
	kinds := []struct {
		name string
		set  func(*size, int)
		full int
	}{
		{"route", func(s *size, n int) { s.routes = n }, fullSize.routes},
		{"endpoint", func(s *size, n int) { s.endpoints = n }, fullSize.endpoints},
		{"workspace", func(s *size, n int) { s.workspaces = n }, fullSize.workspaces},
	}
	fmt.Println("| entry | count | heap bytes | bytes per entry above the base |")
	fmt.Println("| --- | --- | --- | --- |")
	floor, err := heapOf(base)
	if err != nil {
		return err
	}
	for _, kind := range kinds {
		for _, divisor := range []int{8, 4, 2, 1} {
			s := base
			count := kind.full / divisor
			kind.set(&s, count)
			heap, err := heapOf(s)
			if err != nil {
				return err
			}
			fmt.Printf("| %s | %d | %d | %d |\n", kind.name, count, heap, (heap-floor)/int64(count-1000))
		}
	}
	return nil
}

// printWhole prints heap and times of whole documents.
func printWhole(o options) error {
	fmt.Println("| scale | text bytes | heap bytes | parse | digest | validate | index |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for _, divisor := range []int{8, 4, 2, 1} {
		s := fullSize.scaled(divisor)
		heap, err := heapOf(s)
		if err != nil {
			return err
		}
		data, err := config.Canonical(generate(s))
		if err != nil {
			return err
		}
		parse := o.shortest(func() error { _, err := config.Parse(data); return err })
		document := generate(s)
		digest := o.shortest(func() error { _, err := config.Digest(document); return err })
		validate := o.shortest(func() error { return config.Validate(document) })
		index := o.shortest(func() error { config.NewSnapshot(document, ""); return nil })
		fmt.Printf("| 1/%d | %d | %d | %v | %v | %v | %v |\n", divisor, len(data), heap, parse, digest, validate, index)
	}
	return nil
}

// printTransfer compares the two ways in which a node gets a new version at full size: the delta and the whole document.
func printTransfer(o options) error {
	base, err := config.FromDocument(generate(fullSize))
	if err != nil {
		return err
	}
	fmt.Println("| changed entries | delta bytes | compressed | make | apply | whole bytes | compressed | parse | parse next |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, changes := range []int{1, 10, 100, 1000, 10_000, 100_000, 320_000} {
		document := generate(fullSize)
		document.Version.Sequence = 2
		for i := range changes {
			document.Workspaces[i*(fullSize.workspaces/changes)].MaxInFlight = 99
		}
		next, err := config.FromDocument(document)
		if err != nil {
			return err
		}
		if err := printTransferLine(o, changes, base, next); err != nil {
			return err
		}
	}
	return nil
}

func printTransferLine(o options, changes int, base, next *config.Snapshot) error {
	var delta *config.Delta
	takeDelta := o.shortest(func() error { delta = config.NewDelta(base, next); return nil })
	text, err := json.Marshal(delta)
	if err != nil {
		return err
	}
	packed, err := config.Compress(text)
	if err != nil {
		return err
	}
	apply := o.shortest(func() error { _, err := config.Apply(base, delta); return err })
	whole, err := config.Canonical(next.Document())
	if err != nil {
		return err
	}
	parse := o.shortest(func() error { _, err := config.Parse(whole); return err })
	parseNext := o.shortest(func() error { _, err := config.ParseNext(base, whole); return err })
	total := 0
	_, pieces := config.Split(next.Version(), whole)
	for _, piece := range pieces {
		data, err := config.Compress(piece.Data)
		if err != nil {
			return err
		}
		total += len(data)
	}
	fmt.Printf("| %d | %d | %d | %v | %v | %d | %d in %d pieces | %v | %v |\n", changes, len(text), len(packed), takeDelta, apply,
		len(whole), total, len(pieces), parse, parseNext)
	return nil
}

// adoptions is the number of versions adopted for the peak.
const adoptions = 5

// printPeak adopts versions at full size in a store and prints the largest resident size of the process. The documents
// come from files, so that making them does not count.
func printPeak(way string) error {
	directory, err := os.MkdirTemp("", "configmem")
	if err != nil {
		return err
	}
	defer os.RemoveAll(directory)
	if err := writeVersions(directory); err != nil {
		return err
	}
	debug.FreeOSMemory()
	// A write of 5 resets the peak of the resident size.
	if err := os.WriteFile("/proc/self/clear_refs", []byte("5"), 0); err != nil {
		return err
	}
	store := configstore.New(slog.New(slog.DiscardHandler))
	for i := range adoptions {
		if err := adopt(store, directory, i, way); err != nil {
			return err
		}
	}
	status, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return err
	}
	fmt.Printf("%d versions adopted by %s, GOMEMLIMIT %q\n", adoptions, way, os.Getenv("GOMEMLIMIT"))
	for line := range strings.Lines(string(status)) {
		if strings.HasPrefix(line, "VmHWM") {
			fmt.Print(line)
		}
	}
	fmt.Println("live heap bytes:", liveHeap())
	runtime.KeepAlive(store)
	return nil
}

func adopt(store *configstore.Store, directory string, i int, way string) error {
	name := "text"
	if i > 0 {
		name = way
	}
	data, err := os.ReadFile(fmt.Sprintf("%s/%d.%s", directory, i, name))
	if err != nil {
		return err
	}
	if name == "text" {
		_, err := store.Offer(configstore.SourceService, data)
		return err
	}
	delta := new(config.Delta)
	if err := json.Unmarshal(data, delta); err != nil {
		return err
	}
	next, err := config.Apply(store.Current(), delta)
	if err != nil {
		return err
	}
	store.OfferSnapshot(configstore.PeerSource("peer"), next)
	return nil
}

// writeVersions writes the text of each version and its delta to the one before.
func writeVersions(directory string) error {
	var last *config.Snapshot
	for i := range adoptions {
		document := generate(fullSize)
		document.Version.Sequence = uint64(i + 1)
		document.Workspaces[i].MaxInFlight = 99
		next, err := config.FromDocument(document)
		if err != nil {
			return err
		}
		text, err := config.Canonical(document)
		if err != nil {
			return err
		}
		if err := os.WriteFile(fmt.Sprintf("%s/%d.text", directory, i), text, 0o600); err != nil {
			return err
		}
		if last != nil {
			delta, err := json.Marshal(config.NewDelta(last, next))
			if err != nil {
				return err
			}
			if err := os.WriteFile(fmt.Sprintf("%s/%d.delta", directory, i), delta, 0o600); err != nil {
				return err
			}
		}
		last = next
	}
	return nil
}

// shortest returns the shortest time of several runs. A failure ends the program, because the step must succeed on a
// generated document.
func (o options) shortest(step func() error) time.Duration {
	best := time.Duration(-1)
	for range max(o.Repeat, 1) {
		runtime.GC()
		start := time.Now()
		if err := step(); err != nil {
			fmt.Fprintln(os.Stderr, "configmem:", err)
			os.Exit(1)
		}
		if took := time.Since(start); best < 0 || took < best {
			best = took
		}
	}
	return best.Round(100 * time.Microsecond)
}

// heapOf returns the heap bytes held by a snapshot that was parsed from text, as on a node.
func heapOf(s size) (int64, error) {
	data, err := config.Canonical(generate(s))
	if err != nil {
		return 0, err
	}
	before := liveHeap()
	snapshot, err := config.Parse(data)
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(data)
	runtime.KeepAlive(snapshot)
	return after - before, nil
}

func liveHeap() int64 {
	debug.FreeOSMemory()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// generate returns a document with the given number of entries and names of realistic length.
func generate(s size) *config.Document {
	d := &config.Document{Format: config.Format, Version: config.Version{Epoch: 1, Sequence: 1}}
	for i := range s.hosts {
		d.Hosts = append(d.Hosts, config.Host{
			ID:          hostID(i),
			Address:     fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255),
			Zone:        fmt.Sprintf("zone-%d", i%9),
			Region:      fmt.Sprintf("region-%d", i%3),
			IngressPort: 7000, HopPort: 7001, PeerPort: 7002,
		})
	}
	for i := range s.services {
		d.Services = append(d.Services, generateService(s, i))
	}
	for i := range s.routes {
		d.Routes = append(d.Routes, config.Route{
			ID:         fmt.Sprintf("route-%06d", i),
			PathPrefix: fmt.Sprintf("/area-%d/resource-%d", i%500, i),
			Methods:    []string{"GET", "HEAD"},
			Service:    serviceName(i % s.services),
			Repeatable: i%3 != 0,
			DeadlineMS: 5000,
		})
	}
	for i := range s.workspaces {
		d.Workspaces = append(d.Workspaces, config.Workspace{ID: fmt.Sprintf("workspace-%06d", i), MaxInFlight: i % 50})
	}
	return d
}

func generateService(s size, i int) config.Service {
	service := config.Service{
		Name:         serviceName(i),
		FloorPercent: 70,
		Claims:       config.ClaimSettings{Generation: 1},
		Endpoints:    []config.Endpoint{},
	}
	for j := range 5 {
		service.Claims.Recorders = append(service.Claims.Recorders, hostID((i+j)%s.hosts))
	}
	for j := i; j < s.endpoints; j += s.services {
		service.Endpoints = append(service.Endpoints, config.Endpoint{
			ID: fmt.Sprintf("%s-%05d", serviceName(i), j), Host: hostID(j % s.hosts), Slots: 4,
		})
	}
	return service
}

func hostID(i int) string      { return fmt.Sprintf("host-%05d", i) }
func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
