package syncer

import (
	"context"

	"github.com/monsoonlatch/monsoonlatch/pkg/rpcwire"
)

// Register registers the control methods that every node serves.
func (s *Syncer) Register(server *rpcwire.Server) {
	rpcwire.Handle(server, MethodPeers, s.servePeers)
	rpcwire.Handle(server, MethodConfig, s.serveConfig)
}

func (s *Syncer) servePeers(_ context.Context, _ *PeersArgs, reply *PeersReply) error {
	reply.Relays, reply.Config = s.Relays(), s.acceptor.State()
	return nil
}

// serveConfig returns the configuration in force. A node that is not ready returns none, because its own may be out of
// date.
func (s *Syncer) serveConfig(_ context.Context, args *ConfigArgs, reply *ConfigReply) error {
	c := s.Current()
	if c == nil {
		return nil
	}
	reply.Config = ConfigState{Version: c.Version, Hash: Hash(c.Hash)}
	if c.Version > args.Config.Version || args.Config.Hash == "" {
		reply.Update.Whole = &WholeConfig{Version: c.Version, Hash: c.Hash, Configuration: c.Configuration}
	}
	return nil
}
