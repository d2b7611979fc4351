package main

import (
	"context"
	"fmt"

	"github.com/lagoonhead/lagoonhead/operator"
)

var statusCommand = command{
	name: "status", short: "show the state of a daemon, its peers and the endpoints",
	long: `Prints the state as one daemon sees it: whether it is ready, the revision in force,
the peers, the endpoints with requests in flight, the holders of duties, and the
workspaces with their tokens and refusals.`,
	define: func(k *invocation) func(context.Context) error {
		r := k.remoteFlags()
		return func(ctx context.Context) error {
			client, err := k.prepare(r, 0)
			if err != nil {
				return err
			}
			ctx, cancel := r.context(ctx, 0)
			defer cancel()
			s, err := client.Status(ctx)
			if err != nil {
				return err
			}
			if k.json {
				return k.printMessage(s)
			}
			return k.printStatus(s)
		}
	},
}

func (k *invocation) printStatus(s *operator.StatusResponse) error {
	ready := "ready"
	if !s.GetReady() {
		ready = "not ready: " + s.GetReadyReason()
	}
	fmt.Fprintf(k.out, "VM %s (%s), revision %d, %s\n", s.GetVm(), s.GetIncarnation(), s.GetRevision(), ready)
	for _, print := range []func(*operator.StatusResponse) error{
		k.printPeers, k.printEndpoints, k.printDuties, k.printWorkspaces,
	} {
		if err := print(s); err != nil {
			return err
		}
	}
	return nil
}

func (k *invocation) printPeers(s *operator.StatusResponse) error {
	if len(s.GetPeers()) == 0 {
		return nil
	}
	fmt.Fprintln(k.out)
	t := k.table("PEER", "HEARD", "REVISION")
	for _, p := range s.GetPeers() {
		row(t, p.GetVm(), age(p.GetHeardAgeMs()), p.GetRevision())
	}
	return t.Flush()
}

func (k *invocation) printEndpoints(s *operator.StatusResponse) error {
	if len(s.GetEndpoints()) == 0 {
		return nil
	}
	fmt.Fprintln(k.out)
	t := k.table("ENDPOINT", "FAILURE DOMAIN", "SERVES", "ROLE", "STATE", "IN FLIGHT")
	for _, e := range s.GetEndpoints() {
		row(t, e.GetEndpoint(), e.GetFailureDomain(), e.GetServes(), e.GetRole(), e.GetState(), e.GetInFlight())
	}
	return t.Flush()
}

func (k *invocation) printDuties(s *operator.StatusResponse) error {
	if len(s.GetDuties()) == 0 {
		return nil
	}
	fmt.Fprintln(k.out)
	t := k.table("DUTY", "HOLDER", "EPOCH")
	for _, d := range s.GetDuties() {
		row(t, d.GetDuty(), d.GetHolder(), d.GetEpoch())
	}
	return t.Flush()
}

func (k *invocation) printWorkspaces(s *operator.StatusResponse) error {
	if len(s.GetWorkspaces()) == 0 {
		return nil
	}
	fmt.Fprintln(k.out)
	t := k.table("WORKSPACE", "TOKENS", "RATE", "BURST", "REFUSED", "WRONGLY")
	for _, w := range s.GetWorkspaces() {
		row(t, w.GetWorkspace(), w.GetTokens(), w.GetRate(), w.GetBurst(), w.GetRefused(), w.GetWronglyRefused())
	}
	return t.Flush()
}
