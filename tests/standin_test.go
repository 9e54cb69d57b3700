package tests

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamotroad.example/bergamotroad/internal/standin/brplatform"
)

const (
	runCountPath = "/standin/ran"
	// slowServiceTime is the additional service time of a request whose path ends in /slow.
	slowServiceTime = 2 * time.Second
)

// faultHandler handles requests that inject faults into the platform: ?down=BOOL starts or
// ends an outage, ?lose=COUNT loses the responses to that many writes.
func faultHandler(faults *brplatform.Faults) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		if down, err := strconv.ParseBool(r.URL.Query().Get("down")); err == nil {
			faults.SetDown(down)
		}
		if count, err := strconv.Atoi(r.URL.Query().Get("lose")); err == nil {
			faults.LoseResponses(count)
		}
	}
}

// countRuns counts executed requests by path. GET /standin/ran/PATH answers 404 if no
// request for PATH ran, 200 if one ran and 409 if several ran.
func countRuns(next http.Handler) http.Handler {
	var mutex sync.Mutex
	runs := map[string]int{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path, countQuery := strings.CutPrefix(r.URL.Path, runCountPath)
		if !countQuery {
			path = r.URL.Path
		}
		mutex.Lock()
		if !countQuery {
			runs[path]++
		}
		count := runs[path]
		mutex.Unlock()
		if countQuery {
			w.WriteHeader(runCountStatus(count))
			return
		}
		if strings.HasSuffix(path, "/slow") {
			time.Sleep(slowServiceTime)
		}
		next.ServeHTTP(w, r)
	})
}

func runCountStatus(count int) int {
	switch count {
	case 0:
		return http.StatusNotFound
	case 1:
		return http.StatusOK
	default:
		return http.StatusConflict
	}
}

// waitWithout polls a URL until its response has status 200 and lacks a text:
// waitwithout URL TEXT.
func waitWithout(script *testscript.TestScript, negated bool, arguments []string) {
	if negated || len(arguments) != 2 {
		script.Fatalf("usage: waitwithout URL TEXT")
	}
	deadline := time.Now().Add(waitLimit)
	last := "no response"
	for time.Now().Before(deadline) {
		if response, err := http.Get(arguments[0]); err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			last = string(body)
			if response.StatusCode == http.StatusOK && !strings.Contains(last, arguments[1]) {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	script.Fatalf("%s: no response with status 200 and without the text, last response: %s", arguments[0], last)
}
