package jayrelay

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaytask"
	"jayfield.example/jay/jaytraffic"
)

// Limits that apply until the first policy is loaded.
const (
	initialMaxHeaderBytes = 16 << 10
	initialHeaderTimeout  = 3 * time.Second
	initialIdleTimeout    = 15 * time.Second
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
	draining bool
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

// NewServer starts to accept connections from a listener and takes ownership of it.
func NewServer(listener net.Listener, handler http.Handler, log *slog.Logger) *Server {
	s := &Server{listener: listener, handler: handler, log: log, group: jaytask.NewGroup()}
	s.Configure(jaytraffic.Limits{Header: initialMaxHeaderBytes, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout})
	s.group.Go(s.accept)
	return s
}

// Configure sets the limits of connections that are accepted from now on.
func (s *Server) Configure(limits jaytraffic.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limits == s.limits {
		return
	}
	s.limits = limits
	g := &generation{conns: make(chan net.Conn), done: make(chan struct{}), addr: s.listener.Addr()}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(s.serve),
		MaxHeaderBytes:    limits.Header,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
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

// Stop stops accepting connections, waits for requests in progress until ctx ends,
// and closes the remaining connections.
func (s *Server) Stop(ctx context.Context) {
	_ = s.listener.Close()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn("closing connections with requests in progress", "error", err)
			_ = server.Close()
		}
	}
	s.group.Stop()
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Warn("cannot accept connection", "error", err)
			time.Sleep(acceptBackoff)
			continue
		}
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		select {
		case g.conns <- conn:
		case <-g.done:
			// The limits have just changed; the new ones apply to the connection.
			s.assign(ctx, conn)
		case <-ctx.Done():
			_ = conn.Close()
			return
		}
	}
}

// acceptBackoff is the delay after a failed accept, which is mostly caused by a lack
// of file descriptors.
const acceptBackoff = 20 * time.Millisecond

func (s *Server) assign(ctx context.Context, conn net.Conn) {
	s.mu.Lock()
	g := s.current
	s.mu.Unlock()
	select {
	case g.conns <- conn:
	case <-ctx.Done():
		_ = conn.Close()
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
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
