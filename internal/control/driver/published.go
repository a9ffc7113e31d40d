package driver

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	ridgeswitchv1 "github.com/ridgeswitch/ridgeswitch/api/ridgeswitch/v1"
	"github.com/ridgeswitch/ridgeswitch/internal/control"
	"github.com/ridgeswitch/ridgeswitch/internal/routing"
	"github.com/ridgeswitch/ridgeswitch/pkg/member"
)

// ErrNotServing is returned while the node must not admit traffic: it may be partitioned, or
// it has not received the current configuration.
var ErrNotServing = errors.New("the node is not serving: it may be cut off or has not learnt the current configuration; use another node")

// ErrNotPrepared is returned while the machine is not prepared to serve all that the
// configuration names; see control.Machine.Prepared.
var ErrNotPrepared = errors.New("the node has not learnt all back ends yet; use another node")

// stalledAfter is how long the control goroutine may handle no input before Live reports
// the node as stalled.
const stalledAfter = 5 * time.Second

// PublishedState contains what the control goroutine publishes after each input, so that
// requests and other goroutines can read it without waiting for the control goroutine. It is
// safe for concurrent use.
type PublishedState struct {
	clock      func() time.Duration
	view       atomic.Pointer[routing.View]
	serveUntil atomic.Int64
	lastRun    atomic.Int64
	prepared   atomic.Bool
	peers      livePeers
}

// publish updates the state after an input; view is nil if there is no new one. It is called
// on the control goroutine.
func (p *PublishedState) publish(machine *control.Machine, view *routing.View) {
	if view != nil {
		p.view.Store(view)
	}
	p.serveUntil.Store(int64(machine.ServeUntil()))
	p.lastRun.Store(int64(machine.Now()))
	p.prepared.Store(machine.Prepared())
	p.peers.update(machine)
}

// Configuration returns the configuration in force on this node, or nil before
// the first view. It may be older than the newest committed one; see
// Driver.ReadConfiguration.
func (p *PublishedState) Configuration() *ridgeswitchv1.Configuration {
	view := p.view.Load()
	if view == nil {
		return nil
	}
	return view.Configuration
}

// View returns the newest view, or nil before the first one.
func (p *PublishedState) View() *routing.View { return p.view.Load() }

// Live returns an error if the control goroutine has handled no input for longer than
// stalledAfter.
func (p *PublishedState) Live() error {
	if idle := p.clock() - time.Duration(p.lastRun.Load()); idle > stalledAfter {
		return errors.Errorf("control has not run for %s; restart the node", idle)
	}
	return nil
}

// Ready returns nil while new connections may be sent to the node.
func (p *PublishedState) Ready() error {
	if err := p.Serving(); err != nil {
		return err
	}
	if !p.prepared.Load() {
		return ErrNotPrepared
	}
	return nil
}

// Serving returns nil while the node may admit traffic.
func (p *PublishedState) Serving() error {
	if p.view.Load() == nil || p.clock() >= time.Duration(p.serveUntil.Load()) {
		return ErrNotServing
	}
	return nil
}

// Peers returns the live nodes that serve callers, this one included if it does; read only.
func (p *PublishedState) Peers() []member.Info {
	if published := p.peers.published.Load(); published != nil {
		return published.serving
	}
	return nil
}

// LiveNodes returns all live nodes, this one included; read only.
func (p *PublishedState) LiveNodes() []member.Info {
	if published := p.peers.published.Load(); published != nil {
		return published.all
	}
	return nil
}
