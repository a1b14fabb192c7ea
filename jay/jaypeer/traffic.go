package jaypeer

import "time"

// Traffic receives the sizes of frames and the time spent on them, by topic. The handshake is not included. Its methods are called
// concurrently.
type Traffic interface {
	// Sent and Received count a frame with its length field.
	Sent(topic Topic, bytes int)
	Received(topic Topic, bytes int)
	// Spent adds time in which a message was processed without waiting.
	Spent(topic Topic, took time.Duration)
}

// noTraffic discards what it receives.
type noTraffic struct{}

// Sent does nothing.
func (noTraffic) Sent(Topic, int) {}

// Received does nothing.
func (noTraffic) Received(Topic, int) {}

// Spent does nothing.
func (noTraffic) Spent(Topic, time.Duration) {}

// WithTraffic makes a client report its frames.
func WithTraffic(traffic Traffic) ClientOption {
	return func(c *Client) { c.traffic = traffic }
}

// ServerOption configures a server.
type ServerOption func(*Server)

// WithServerTraffic makes a server report its frames.
func WithServerTraffic(traffic Traffic) ServerOption {
	return func(s *Server) { s.traffic = traffic }
}
