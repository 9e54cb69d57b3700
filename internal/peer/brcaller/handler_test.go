package brcaller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bergamotroad.example/bergamotroad/internal/core/brclock"
	"bergamotroad.example/bergamotroad/internal/model/brconfig"
	"bergamotroad.example/bergamotroad/internal/model/brlocation"
	"bergamotroad.example/bergamotroad/internal/model/brmessage"
	"bergamotroad.example/bergamotroad/internal/model/brrequest"
	"bergamotroad.example/bergamotroad/internal/peer/brbackend"
	"bergamotroad.example/bergamotroad/internal/peer/brcaller"
	"bergamotroad.example/bergamotroad/internal/service/brdispatch"
	"bergamotroad.example/bergamotroad/internal/standin/brfaultserver"
)

// singleServerDispatcher dispatches all requests to one backend server through the
// production client.
type singleServerDispatcher struct {
	client *brbackend.Client
	server brconfig.Server
}

func (d *singleServerDispatcher) Locate(context.Context, netip.Addr) (brlocation.Response, error) {
	return brlocation.Response{}, nil
}

func (d *singleServerDispatcher) Dispatch(ctx context.Context, _ brrequest.Request, call brmessage.Call, writer brdispatch.Writer) brdispatch.Result {
	response, err := d.client.Send(ctx, d.server, call)
	if err != nil {
		return brdispatch.NewResult(brrequest.FateUnknown, brrequest.ReasonServerFailed, 0)
	}
	defer func() { _ = response.Close() }()
	_ = writer.WriteHead(response.Status(), response.Fields())
	if _, err := io.Copy(struct{ io.Writer }{writer}, response.Body()); err != nil {
		return brdispatch.NewResult(brrequest.FateRan, brrequest.ReasonServerFailed, 0).WithStarted(false)
	}
	_ = writer.WriteTrailers(response.Trailers())
	return brdispatch.NewResult(brrequest.FateRan, brrequest.ReasonNone, 0).WithStarted(true)
}

func startHandler(t *testing.T, address string) *httptest.Server {
	t.Helper()
	backend := brconfig.NewServer(brconfig.NewMeta("lookup-1"), "lookup", "este-a", address, 3)
	dispatcher := &singleServerDispatcher{client: brbackend.NewClient(brbackend.NewTransport()), server: backend}
	handler, err := brcaller.NewHandler(brclock.NewSystem(), dispatcher, dispatcher)
	require.NoError(t, err)
	server := httptest.NewUnstartedServer(handler)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// clients returns a client for each HTTP version.
func clients() map[string]*http.Client {
	http2 := &http.Transport{Protocols: &http.Protocols{}}
	http2.Protocols.SetUnencryptedHTTP2(true)
	return map[string]*http.Client{
		"HTTP/1.1": {Transport: &http.Transport{DisableCompression: true}},
		"HTTP/2":   {Transport: http2},
	}
}

func forEachVersion(t *testing.T, backend http.HandlerFunc, check func(t *testing.T, client *http.Client, url string)) {
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	server := startHandler(t, strings.TrimPrefix(backendServer.URL, "http://"))
	for version, client := range clients() {
		t.Run(version, func(t *testing.T) { check(t, client, server.URL) })
	}
}

func TestResponseIsStreamed(t *testing.T) {
	next := make(chan struct{})
	backend := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first\n")
		_ = http.NewResponseController(w).Flush()
		<-next
		_, _ = io.WriteString(w, "second\n")
		w.Header().Set(http.TrailerPrefix+"Checksum", "7")
	}
	forEachVersion(t, backend, func(t *testing.T, client *http.Client, url string) {
		response, err := client.Get(url + "/extract")
		require.NoError(t, err)
		reader := bufio.NewReader(response.Body)
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "first\n", line)
		next <- struct{}{}
		rest, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.Equal(t, "second\n", string(rest))
		require.Equal(t, "7", response.Trailer.Get("Checksum"))
	})
}

func TestResponsesWithoutBody(t *testing.T) {
	backend := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Etag", "7")
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("Content-Length", "12")
		}
	}
	forEachVersion(t, backend, func(t *testing.T, client *http.Client, url string) {
		for path, status := range map[string]int{"/204": 204, "/304": 304, "/head": 200} {
			response, err := client.Head(url + path)
			require.NoError(t, err)
			require.Equal(t, status, response.StatusCode)
			require.Equal(t, "7", response.Header.Get("Etag"))
			require.Equal(t, "ran", response.Header.Get(brcaller.FieldFate))
			if path != "/head" {
				response, err = client.Get(url + path)
				require.NoError(t, err)
				_, err = io.ReadAll(response.Body)
				require.NoError(t, err)
			}
		}
	})
}

func TestConnectionAndReservedHeaderFieldsAreNotForwarded(t *testing.T) {
	backend := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "1")
		w.Header().Set("Content-Encoding", "gzip")
		w.Header().Set(brcaller.FieldFate, "not-run")
		w.Header().Set(brcaller.FieldReason, "forged")
		_, _ = fmt.Fprintf(w, "%q %q %q", r.Header.Get("Bergamotroad-Organisation"), r.Header.Get("Authorization"), r.Header.Get("Expect"))
	}
	forEachVersion(t, backend, func(t *testing.T, client *http.Client, url string) {
		request, err := http.NewRequest(http.MethodPost, url+"/", strings.NewReader("body"))
		require.NoError(t, err)
		request.Header.Set("Bergamotroad-Organisation", "forged")
		request.Header.Set("Authorization", "Bearer secret")
		request.Header.Set("Expect", "100-continue")
		request.Header.Set("Accept-Encoding", "gzip")
		response, err := client.Do(request)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, `"" "" ""`, string(body))
		require.Equal(t, "gzip", response.Header.Get("Content-Encoding"))
		require.Equal(t, "ran", response.Header.Get(brcaller.FieldFate))
		require.Empty(t, response.Header.Get(brcaller.FieldReason))
		require.Empty(t, response.Header.Get("X-Private"))
	})
}

// The response must arrive although the caller has not finished sending its
// request.
func TestEarlyResponseArrives(t *testing.T) {
	backend := func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	}
	forEachVersion(t, backend, func(t *testing.T, client *http.Client, url string) {
		reader, writer := io.Pipe()
		t.Cleanup(func() { _ = writer.Close() })
		response, err := client.Post(url+"/", "text/plain", reader)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	})
}

func TestTruncatedResponseIsTruncatedForCaller(t *testing.T) {
	for _, point := range []brfaultserver.Point{brfaultserver.CloseInBody, brfaultserver.CloseInChunk, brfaultserver.BodyWithoutLength} {
		backend, err := brfaultserver.Start(point)
		require.NoError(t, err)
		t.Cleanup(backend.Close)
		server := startHandler(t, backend.Address())
		for version, client := range clients() {
			response, err := client.Get(server.URL + "/")
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}
			require.Error(t, err, "point %d over %s", point, version)
		}
	}
}

func TestUnsupportedRequestsAreRefused(t *testing.T) {
	server := startHandler(t, "127.0.0.1:0")
	for _, method := range []string{http.MethodTrace, http.MethodGet} {
		request, err := http.NewRequest(method, server.URL+"/", nil)
		require.NoError(t, err)
		request.Header.Set("Connection", "Upgrade")
		request.Header.Set("Upgrade", "websocket")
		response, err := server.Client().Do(request)
		require.NoError(t, err)
		require.Equal(t, http.StatusNotImplemented, response.StatusCode)
		require.Equal(t, "not-run", response.Header.Get(brcaller.FieldFate))
	}
}
