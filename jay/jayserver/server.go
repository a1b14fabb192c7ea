// Package jayserver serves HTTP to callers, with limits that may change, and stops without losing a
// request: one that it has read is answered.
package jayserver

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaytask"
	"jayfield.example/jay/jaytraffic"
)

// Server accepts connections from callers. A connection keeps the limits that
// applied when it was accepted.
type Server struct {
	listener net.Listener
	handler  http.Handler
	log      *slog.Logger
	group    *jaytask.Group
	mu       sync.Mutex
	limits   jaytraffic.Limits
	current  *generation
	servers  []*http.Server
	conns    map[*callerConn]bool
	draining bool
	stopped  bool
	// stopping ends when no more connections are accepted during a stop, nil before it.
	stopping atomic.Pointer[context.Context]
	// backlog is set once the listener is being emptied.
	backlog atomic.Bool
	// accepted is closed when no more connections are accepted and all have been assigned.
	accepted chan struct{}
}

// generation is the HTTP server, and its listener, for the connections accepted under
// the same limits.
type generation struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

// New starts to accept connections from a listener and takes ownership of it. The limits are in force
// until Configure changes them.
func New(listener net.Listener, handler http.Handler, limits jaytraffic.Limits, log *slog.Logger) *Server {
	s := &Server{listener: listener, handler: handler, log: log, group: jaytask.NewGroup(), conns: make(map[*callerConn]bool), accepted: make(chan struct{})}
	s.Configure(limits)
	s.group.Go(s.accept)
	return s
}

// Configure sets the limits of connections that are accepted from now on. It does nothing once the
// server is being stopped.
func (s *Server) Configure(limits jaytraffic.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || limits == s.limits {
		return
	}
	s.limits = limits
	g := &generation{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		MaxHeaderBytes:    limits.Header,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ConnState:         s.track,
		ConnContext:       withConn,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	if s.current != nil {
		_ = s.current.Close()
	}
	s.current = g
	s.servers = append(s.servers, g.server)
	s.group.Go(func(context.Context) {
		if err := g.server.Serve(g); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("HTTP server for callers failed", "error", err)
		}
	})
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.listener.Close()
	s.Stop(ctx)
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} {
	return s.group.Done()
}

// Drain closes each connection after its next response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Stop stops accepting connections, waits for requests in progress until ctx ends, and closes the
// remaining connections. It does not use http.Server.Shutdown, which closes connections after it has
// read a request, without an answer.
func (s *Server) Stop(ctx context.Context) {
	s.stopAccepting(ctx)
	s.mu.Lock()
	s.stopped, s.draining = true, true
	servers := s.servers
	s.mu.Unlock()
	s.waitForRequests(ctx)
	for _, server := range servers {
		_ = server.Close()
	}
	s.group.Stop()
}

// waitForRequests closes idle connections until none is left or ctx ends.
func (s *Server) waitForRequests(ctx context.Context) {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		open := s.expireIdle(time.Now())
		if open == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			s.log.Warn("closing connections with requests in progress", "connections", open)
			return
		}
	}
}

// expireIdle closes idle connections and returns the number of those that are open.
func (s *Server) expireIdle(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.expire(now)
	}
	return len(s.conns)
}

// track records the state of a connection.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	c.setState(state)
	if state == http.StateClosed || state == http.StateHijacked {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}
}

// stopAccepting accepts the connections that are already established, then closes the listener. It returns
// once all connections have been assigned. Callers that keep connecting hold it up for backlogLimit at most.
func (s *Server) stopAccepting(ctx context.Context) {
	if listener, ok := s.listener.(deadliner); ok {
		ctx, cancel := context.WithTimeout(ctx, backlogLimit)
		defer cancel()
		s.stopping.Store(&ctx)
		if err := listener.SetDeadline(time.Now().Add(backlogTime)); err == nil {
			<-s.accepted
		}
	}
	_ = s.listener.Close()
	<-s.accepted
}

// deadliner is a listener whose Accept may be given a deadline.
type deadliner interface {
	SetDeadline(t time.Time) error
}

// continueAccepting reports whether the listener has another established connection when its deadline has
// passed during a stop, and sets a new deadline for it. Accept returns none after its deadline, and closing
// the listener resets them.
func (s *Server) continueAccepting() bool {
	ctx := s.stopping.Load()
	listener, ok := s.listener.(deadliner)
	if ctx == nil || !ok || (*ctx).Err() != nil || !hasBacklog(s.listener) {
		return false
	}
	s.backlog.Store(true)
	return listener.SetDeadline(time.Now().Add(backlogAcceptTime)) == nil
}

// expireAccepting ends the deadline that was set for one connection of the backlog, so that the next one is
// looked for before it is accepted.
func (s *Server) expireAccepting() {
	if listener, ok := s.listener.(deadliner); ok && s.backlog.Load() {
		_ = listener.SetDeadline(time.Now()) // It fails only if the listener is closed.
	}
}

const (
	// acceptBackoff is the delay after a failed accept, which is mostly caused by a lack
	// of file descriptors.
	acceptBackoff = 20 * time.Millisecond
	// backlogTime is how long a stop waits for a connection to be established before it looks whether any
	// is left to accept.
	backlogTime = 20 * time.Millisecond
	// backlogAcceptTime limits the accept of a connection that a stop has found, and backlogLimit that of all.
	backlogAcceptTime = time.Second
	backlogLimit      = 2 * time.Second
	// expireInterval is the time between two searches for idle connections during a stop.
	expireInterval = 20 * time.Millisecond
)

func (s *Server) accept(ctx context.Context) {
	defer close(s.accepted)
	for ctx.Err() == nil {
		conn, err := s.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !s.continueAccepting() {
				return
			}
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn("cannot accept connection", "error", err)
			time.Sleep(acceptBackoff)
		default:
			s.expireAccepting()
			limitUnsent(conn)
			s.assign(ctx, newCallerConn(conn))
		}
	}
}

// assign passes a connection to the HTTP server for the current limits.
func (s *Server) assign(ctx context.Context, conn *callerConn) {
	for {
		s.mu.Lock()
		g := s.current
		s.conns[conn] = true
		s.mu.Unlock()
		select {
		case g.conns <- conn:
			return
		case <-g.done:
			// The limits have just changed; the new ones apply to the connection.
		case <-ctx.Done():
			_ = conn.Close()
			return
		}
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	writer := &closingWriter{ResponseWriter: w, draining: s.isDraining}
	conn := connOf(r)
	conn.setAborting(!r.ProtoAtLeast(1, 1))
	s.handler.ServeHTTP(writer, r)
	if !writer.wroteHeader {
		writer.WriteHeader(http.StatusOK)
	}
	conn.setAborting(false)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// closingWriter announces in the header of a response that the connection is closed after it, if the
// server is draining by then.
type closingWriter struct {
	http.ResponseWriter
	draining    func() bool
	wroteHeader bool
}

// Unwrap returns the writer of the HTTP server, for http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// Write sends a part of the body.
func (w *closingWriter) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p) //nolint:wrapcheck // The caller adds its operation.
}

// WriteHeader sends the header.
func (w *closingWriter) WriteHeader(status int) {
	w.wroteHeader = true
	if w.draining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Accept returns the next connection of the generation.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case conn := <-g.conns:
		return conn, nil
	case <-g.done:
		return nil, net.ErrClosed
	}
}

// Addr returns the address of the listener.
func (g *generation) Addr() net.Addr {
	return g.addr
}

// Close ends Accept; the listener itself belongs to the Server.
func (g *generation) Close() error {
	g.once.Do(func() { close(g.done) })
	return nil
}
