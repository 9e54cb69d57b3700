// Package tests holds the tests of the whole program: scripts that run entry VMs,
// stand-ins for the platform and backend servers, and callers as separate processes;
// benchmarks of a VM and of a fleet; and checks of the package layout and of the
// tables on the capacity page.
//
// # Usage
//
//	go test ./tests -run TestScripts/path
//	go test ./tests -run '^$' -bench ThroughVM
//	go test -tags fleet ./tests -run '^$' -bench Fleet -benchtime 1x  # needs ../bergamotroad
package tests

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamotroad.example/bergamotroad/internal/command/brcommand"
	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
	"bergamotroad.example/bergamotroad/internal/standin/brserver"
)

// waitLimit is the longest time that a script waits for an expected response.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"bergamotroad":     func() { os.Exit(brcommand.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"standin-platform": func() { serveUntilSignal(os.Args[1], newPlatform()) },
		"standin-server":   standinServer,
		"call":             callCommand,
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setEnvironment,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"waitfor":     waitFor,
			"expand":      expand,
			"waitwithout": waitWithout,
			"readenv":     readEnv,
		},
	})
}

// setEnvironment sets PORT0 to PORT15 to free ports. It also disables the sleep of 1 s at
// the exit of programs that are built with the race detector.
func setEnvironment(env *testscript.Env) error {
	env.Setenv("GORACE", "atexit_sleep_ms=0")
	for i := range 16 {
		env.Setenv(fmt.Sprintf("PORT%d", i), strconv.Itoa(freePort()))
	}
	return nil
}

// Ports of scripts lie below the ephemeral range: otherwise an outgoing connection
// could take a port before the program listens on it.
const (
	firstPort = 10_000
	portCount = 20_000
)

var portOffset atomic.Int64

// freePort returns a port that is free and that this process has not returned before.
func freePort() int {
	for {
		port := firstPort + (os.Getpid()*64+int(portOffset.Add(1)))%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = listener.Close()
			return port
		}
	}
}

// newPlatform returns the services of a stand-in platform, and a path that injects faults
// into them.
func newPlatform() http.Handler {
	faults := brplatform.NewFaults()
	mux := http.NewServeMux()
	mux.Handle("/v3/kv/", brplatform.NewTable(faults))
	mux.Handle("/objects/", http.StripPrefix("/objects", brplatform.NewObjectStore(faults)))
	mux.Handle("/vms", brplatform.NewVMList(faults))
	mux.HandleFunc("POST /standin/faults", faultHandler(faults))
	return mux
}

// crashOnPoison exits the process on a request whose path ends in /poison.
func crashOnPoison(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/poison") {
			os.Exit(0)
		}
		next.ServeHTTP(w, r)
	})
}

// standinServer runs a stand-in backend server: standin-server [-service DURATION] ADDRESS.
func standinServer() {
	flags := flag.NewFlagSet("standin-server", flag.ExitOnError)
	service := flags.Duration("service", time.Millisecond, "service time of one request")
	_ = flags.Parse(os.Args[1:])
	serveUntilSignal(flags.Arg(0), countRuns(crashOnPoison(brserver.New(3, *service))))
}

func serveUntilSignal(address string, handler http.Handler) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	server := &http.Server{Addr: address, Handler: handler}
	go func() {
		<-signals
		_ = server.Close()
	}()
	_ = server.ListenAndServe()
}

// callCommand sends a request and prints status, headers and body of the response. With
// -until it repeats the request until the output contains the text.
func callCommand() {
	flags := flag.NewFlagSet("call", flag.ExitOnError)
	key := flags.String("key", "", "API key of the caller")
	body := flags.String("body", "", "file with the request body")
	idempotencyKey := flags.String("idempotency", "", "idempotency key")
	until := flags.String("until", "", "repeat the request until the output contains this text")
	_ = flags.Parse(os.Args[1:])
	output := callOnce(flags, *key, *idempotencyKey, *body)
	for end := time.Now().Add(waitLimit); !strings.Contains(output, *until) && time.Now().Before(end); {
		time.Sleep(100 * time.Millisecond)
		output = callOnce(flags, *key, *idempotencyKey, *body)
	}
	fmt.Print(output)
}

// callOnce sends the request once and returns status, headers and body of the
// response.
func callOnce(flags *flag.FlagSet, key, idempotencyKey, body string) string {
	request, err := http.NewRequest(flags.Arg(0), flags.Arg(1), openBody(body))
	if err != nil {
		exitWithError(err)
	}
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		exitWithError(err)
	}
	defer func() { _ = response.Body.Close() }()
	output := &strings.Builder{}
	_, _ = fmt.Fprintln(output, "status", response.StatusCode)
	_ = response.Header.Write(output)
	_, _ = io.Copy(output, response.Body)
	return output.String()
}

func openBody(path string) io.Reader {
	if path == "" {
		return nil
	}
	file, err := os.Open(path)
	if err != nil {
		exitWithError(err)
	}
	return file
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}

// waitFor polls a URL until it answers with a status: waitfor URL STATUS.
func waitFor(script *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 2 {
		script.Fatalf("usage: waitfor URL STATUS")
	}
	deadline := time.Now().Add(waitLimit)
	last := "no response"
	for time.Now().Before(deadline) {
		response, err := http.Get(arguments[0])
		if err == nil {
			_ = response.Body.Close()
			last = fmt.Sprint(response.StatusCode)
			if last == arguments[1] {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	script.Fatalf("%s: last status %s, want %s", arguments[0], last, arguments[1])
}

// expand replaces $NAME in files with the variables of the script: expand FILE...
func expand(script *testscript.TestScript, negated bool, arguments []string) {
	if negated {
		script.Fatalf("usage: expand FILE...")
	}
	for _, name := range arguments {
		path := script.MkAbs(name)
		text := os.Expand(script.ReadFile(name), script.Getenv)
		script.Check(os.WriteFile(path, []byte(strings.TrimSpace(text)+"\n"), 0o600))
	}
}

// readEnv sets a variable to the trimmed content of a file: readenv NAME FILE.
func readEnv(script *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 2 {
		script.Fatalf("usage: readenv NAME FILE")
	}
	script.Setenv(arguments[0], strings.TrimSpace(script.ReadFile(arguments[1])))
}
