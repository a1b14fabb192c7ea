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

// Bounds before the first policy is known.
const (
	firstHeader     = 16 << 10
	firstHeaderTime = 3 * time.Second
	firstIdle       = 15 * time.Second
)

// Server accepts the connections of callers. Connections keep the limits that
// were in force when they were accepted.
type Server struct {
	listener net.Listener
	handler  http.Handler
	log      *slog.Logger
	group    *jaytask.Group
	mu       sync.Mutex
	limits   jaytraffic.Limits
	current  *generation
	servers  []*http.Server
	leaving  bool
}

// generation is the server of the connections accepted under the same limits.
type generation struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

// NewServer starts to accept connections from a listener, which it owns.
func NewServer(listener net.Listener, handler http.Handler, log *slog.Logger) *Server {
	s := &Server{listener: listener, handler: handler, log: log, group: jaytask.NewGroup()}
	s.Configure(jaytraffic.Limits{Header: firstHeader, HeaderTime: firstHeaderTime, Idle: firstIdle})
	s.group.Go(s.accept)
	return s
}

// Configure sets the limits of connections accepted from now on.
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
		ReadHeaderTimeout: limits.HeaderTime,
		IdleTimeout:       limits.Idle,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelDebug),
	}
	if s.current != nil {
		_ = s.current.Close()
	}
	s.current = g
	s.servers = append(s.servers, g.server)
	s.group.Go(func(context.Context) {
		if err := g.server.Serve(g); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			s.log.Error("server of callers ended", "error", err)
		}
	})
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} {
	return s.group.Done()
}

// Leave has callers close their connections after the next answer.
func (s *Server) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Stop accepts no more connections, lets requests at work end until ctx ends,
// and cuts what is left.
func (s *Server) Stop(ctx context.Context) {
	_ = s.listener.Close()
	s.mu.Lock()
	servers := s.servers
	s.mu.Unlock()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.Warn("requests at work are cut", "error", err)
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
			s.log.Warn("connection not accepted", "error", err)
			time.Sleep(acceptPause)
			continue
		}
		s.mu.Lock()
		g := s.current
		s.mu.Unlock()
		select {
		case g.conns <- conn:
		case <-g.done:
			// The limits have just changed; the connection gets the new ones.
			s.hand(ctx, conn)
		case <-ctx.Done():
			_ = conn.Close()
			return
		}
	}
}

// acceptPause follows a failed accept, mostly for lack of descriptors.
const acceptPause = 20 * time.Millisecond

func (s *Server) hand(ctx context.Context, conn net.Conn) {
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
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
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
