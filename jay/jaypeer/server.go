package jaypeer

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaytask"
)

// Handler answers the requests of other instances.
type Handler interface {
	// HandlePeer returns the body of the reply.
	HandlePeer(ctx context.Context, topic Topic, body []byte) ([]byte, error)
}

// maxConcurrent bounds the requests of one connection that are handled at once.
const maxConcurrent = 64

// Server accepts connections of other instances.
type Server struct {
	listener net.Listener
	key      []byte
	handler  Handler
	log      *slog.Logger
	traffic  Traffic
	group    *jaytask.Group
	open     atomic.Int64
	refused  atomic.Int64
}

// NewServer starts to accept connections from a listener, which it owns.
func NewServer(listener net.Listener, key []byte, handler Handler, log *slog.Logger, options ...ServerOption) *Server {
	s := &Server{listener: listener, key: key, handler: handler, log: log, traffic: noTraffic{}, group: jaytask.NewGroup()}
	for _, option := range options {
		option(s)
	}
	s.group.Go(s.accept)
	s.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	return s
}

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} {
	return s.group.Done()
}

// Open returns the number of open connections.
func (s *Server) Open() int64 {
	return s.open.Load()
}

// Refused returns the number of connections closed for a bad handshake or frame.
func (s *Server) Refused() int64 {
	return s.refused.Load()
}

// Stop closes the listener and all connections.
func (s *Server) Stop() {
	s.group.Stop()
}

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.group.Go(func(context.Context) { s.serve(ctx, conn) })
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.open.Add(1)
	defer s.open.Add(-1)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer conn.Close() //nolint:errcheck // The connection is given up.
	if err := handshake(conn, s.key, sideListener, time.Now().Add(helloBound)); err != nil {
		s.refuse(conn, err)
		return
	}
	replies := make(chan Envelope, maxConcurrent)
	go s.writeReplies(ctx, cancel, conn, replies)
	slots := make(chan struct{}, maxConcurrent)
	for {
		request, err := s.readRequest(conn)
		if err != nil {
			if ctx.Err() == nil && !isClosed(err) {
				s.refuse(conn, err)
			}
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			s.answer(ctx, request, replies)
		}()
	}
}

func (s *Server) readRequest(conn net.Conn) (Envelope, error) {
	length, err := readLength(conn, MaxFrame)
	if err != nil {
		return Envelope{}, err
	}
	return readEnvelope(conn, length, s.traffic)
}

func (s *Server) answer(ctx context.Context, request Envelope, replies chan<- Envelope) {
	reply := Envelope{Version: Version, Number: request.Number, Reply: true, Topic: request.Topic}
	body, err := s.handler.HandlePeer(ctx, request.Topic, request.Body)
	if err != nil {
		reply.Refused = err.Error()
	}
	reply.Body = body
	select {
	case replies <- reply:
	case <-ctx.Done():
	}
}

func (s *Server) refuse(conn net.Conn, err error) {
	s.refused.Add(1)
	s.log.Warn("peer connection refused", "remote", conn.RemoteAddr().String(), "error", err)
}

func (s *Server) writeReplies(ctx context.Context, cancel context.CancelFunc, conn net.Conn, replies <-chan Envelope) {
	defer cancel()
	for {
		select {
		case reply := <-replies:
			if err := writeEnvelope(conn, reply, s.traffic); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// isClosed reports whether a read failed because the connection ended.
func isClosed(err error) bool {
	var frame *Error
	if !errors.As(err, &frame) || frame.Err == nil {
		return false
	}
	var network net.Error
	return errors.Is(err, net.ErrClosed) || errors.As(err, &network) || frame.Err.Error() == "EOF"
}
