package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// announcement is the body of POST /v1/announce, which is sent to the node's admin address.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
}

// Announce sends the server's state to its node as a periodic heartbeat, and once more when a drain starts, until ctx
// ends. It ignores errors, since the next heartbeat repeats the announcement.
func (s *Server) Announce(ctx context.Context) {
	if s.settings.NodeAdmin == "" {
		return
	}
	tick := time.NewTicker(s.settings.Heartbeat)
	defer tick.Stop()
	drainStarted := s.drainStarted
	for {
		_ = s.sendAnnouncement(ctx)
		select {
		case <-tick.C:
		case <-drainStarted:
			drainStarted = nil
		case <-ctx.Done():
			return
		}
	}
}

// Depart announces to the node that the server has departed.
func (s *Server) Depart(ctx context.Context) error {
	s.departed.Store(true)
	if s.settings.NodeAdmin == "" {
		return nil
	}
	return s.sendAnnouncement(ctx)
}

func (s *Server) state() string {
	switch {
	case s.departed.Load():
		return "departed"
	case s.draining.Load():
		return "draining"
	}
	return "ready"
}

func (s *Server) sendAnnouncement(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.settings.Heartbeat)
	defer cancel()
	body, err := json.Marshal(announcement{
		Service: s.settings.Service, Address: s.settings.Address, Slots: s.settings.Slots, State: s.state(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.NodeAdmin+"/v1/announce",
		bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("announce to the node: unexpected status %s", resp.Status)
	}
	return nil
}
